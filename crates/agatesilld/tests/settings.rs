//! Invalid settings: each message must name the file, the key, the value and the allowed values.

use std::process::Command;

use agatesilld::settings::{known_keys, parse};

const GOOD: &str = "
instance: entry-1
zone: east-a
entry: { addr: 127.0.0.1:7100 }
admin: { addr: 127.0.0.1:7101 }
peers: { addr: 127.0.0.1:7102, members: { entry-2: 127.0.0.1:7112 } }
store: { addr: 127.0.0.1:8000 }
pools:
  billing:
    - { id: 1, addr: 127.0.0.1:7201, slots: 8, zone: east-a }
    - { id: 2, addr: 127.0.0.1:7202, slots: 8, zone: east-b }
cells:
  east-a:
    addr: 127.0.0.1:7900
    workers:
      - { id: 1, capacity: { cpu_milli: 16000, memory_mb: 60000, accelerators: 0 }, rack: r1, zone: east-a }
";

/// Description, valid text and the invalid text that replaces it.
const BROKEN: [(&str, &str, &str); 24] = [
    ("not YAML", "instance: entry-1", "instance: [entry-1"),
    ("missing section", "admin: { addr: 127.0.0.1:7101 }", ""),
    ("missing key", "slots: 8, zone: east-a", "zone: east-a"),
    ("unknown key that has a default", "7100 }", "7100, drain_msec: 5 }"),
    ("unknown key in a list", "slots: 8, zone: east-a", "slot: 8, zone: east-a"),
    ("unknown section", "store:", "sore:"),
    ("unknown key in an empty section", "7101 }", "7101 }\nrecords: { keep: 5 }"),
    ("unknown key in a capacity", "accelerators: 0", "accelerators: 0, acelerators: 1"),
    ("time with a unit", "7100 }", "7100, drain_ms: 10s }"),
    ("size with a unit", "memory_mb: 60000", "memory_mb: 60GB"),
    ("negative time", "8000 }", "8000, commit_ms: -5 }"),
    ("fraction", "8000 }", "8000, renew_ms: 0.5 }"),
    ("address without port", "127.0.0.1:7100", "127.0.0.1"),
    ("port used twice", "127.0.0.1:7101", "127.0.0.1:7100"),
    ("two upstreams at one address", "127.0.0.1:7202", "127.0.0.1:7201"),
    ("upstream id used twice", "id: 2", "id: 1"),
    ("lease shorter than twice its renewal", "8000 }", "8000, lease_ms: 1500, renew_ms: 1000 }"),
    ("attempt lease shorter than two polls", "7900", "7900\n    attempt_lease_ms: 700"),
    ("suspicion within three heartbeats", "members", "suspect_ms: 300, heartbeat_ms: 200, members"),
    (
        "more slots reserved than connections exist",
        "slots: 8, zone: east-a",
        "slots: 80, zone: east-a",
    ),
    ("no threads", "7100 }", "7100, relay_threads: 0 }"),
    ("worker without processors", "cpu_milli: 16000", "cpu_milli: 0"),
    ("empty instance name", "instance: entry-1", "instance: ''"),
    ("unknown log level", "7101 }", "7101 }\nlog: { level: loud }"),
];

#[test]
fn valid_settings_are_accepted() {
    assert!(parse("daemon.yaml", GOOD).is_ok());
}

/// Error messages of all invalid files, as one snapshot.
#[test]
fn each_broken_file_is_told_what_is_wrong() {
    let messages: String = BROKEN
        .iter()
        .map(|(description, good, broken)| {
            assert!(GOOD.contains(good), "{description}: {good:?} is not in the good file");
            let text = GOOD.replacen(good, broken, 1);
            let message = match parse("daemon.yaml", &text) {
                Ok(_) => "accepted".to_owned(),
                Err(error) => error.to_string(),
            };
            format!("{description}\n    {message}\n")
        })
        .collect();
    assert!(!messages.contains("accepted"), "{messages}");
    insta::assert_snapshot!(messages);
}

/// Both example files must be accepted.
#[test]
fn examples_are_accepted() -> Result<(), Box<dyn std::error::Error>> {
    for name in ["billfold", "carpatia"] {
        let path = format!("{}/../../examples/{name}/daemon.yaml", env!("CARGO_MANIFEST_DIR"));
        parse(name, &std::fs::read_to_string(path)?)?;
    }
    assert!(known_keys().iter().any(|key| key == "pools.*.*.slots"));
    Ok(())
}

/// The daemon must exit with code 2 and the message for an invalid file, and print the effective
/// settings with all defaults for a valid one.
#[test]
fn check_prints_effective_settings_or_exits_with_two() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::temp_dir().join(format!("agatesilld-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let file = folder.join("daemon.yaml");
    let run = |text: &str| {
        std::fs::write(&file, text)?;
        let binary = env!("CARGO_BIN_EXE_agatesilld");
        Command::new(binary).arg("--config").arg(&file).arg("--check").output()
    };
    let good = run(GOOD)?;
    assert_eq!(good.status.code(), Some(0));
    assert!(String::from_utf8(good.stdout)?.contains("drain_ms: 10000"));
    let broken = run(&GOOD.replacen("slots: 8", "slots: 0", 1))?;
    assert_eq!(broken.status.code(), Some(2));
    let messages = String::from_utf8(broken.stderr)?;
    assert!(
        messages.contains("daemon.yaml: pools.billing.0.slots: 0 is not allowed; expected 1..=60"),
        "{messages}"
    );
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
