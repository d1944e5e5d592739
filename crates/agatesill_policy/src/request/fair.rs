//! The queue of one daemon, fair between callers and between keys.
//!
//! Load pattern: one caller, or many callers about one key, ask for several times their share.
//! In a single FIFO everybody then waits behind them and is refused as often as they are.
//!
//! Start-time fair queueing: a request is tagged with the later finish tag of its caller and its
//! key, but no earlier than the queue's virtual time. The lowest tag is served first, the highest
//! is evicted when the queue is full. So a hot flow queues behind itself, and others pass it. Tags
//! live in two hashed rows of fixed size: a flow takes the lower of its two, so that an innocent
//! flow is held back only where both of its cells collide with hot flows.
//!
//! A request of priority `p` costs 1 / (p + 1): under overload a caller of priority 9 gets ten
//! times what a caller of priority 0 gets, and priority 0 still gets its tenth.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::{Outcome, RequestHead, UpstreamId};

/// Cells in each row. With 10 hot flows an innocent one collides in both rows with probability
/// (10 / 1024)^2, about 1 in 10,000.
const CELLS: usize = 1_024;

/// Cost of one request at weight 1, divisible by every weight from 1 to 10.
const COST: u64 = 2_520;

/// How many of its own requests a newcomer's flow has to be behind before it takes another's place
/// in a full queue. Flows that ask for the same differ by less, and a refusal after a wait is
/// worth less to its caller than one at once.
const EVICTION_MARGIN: u64 = 2;

/// Odd multipliers that give the two rows independent cells (from the golden ratio and xxHash).
const ROW_SALTS: [u64; 2] = [0x9E37_79B9_7F4A_7C15, 0xC2B2_AE3D_27D4_EB4F];

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub head: RequestHead,
    /// When it arrived at this daemon.
    pub arrived_us: u64,
    /// When it is refused if it still waits.
    pub expires_us: u64,
    /// Attempts made before this wait.
    pub attempts: u8,
    /// Where the last attempt failed.
    pub avoid: Option<UpstreamId>,
    /// The failure of its attempts that says the least about not having run.
    pub worst: Option<Outcome>,
    /// Start tag.
    pub tag: u64,
}

#[derive(Clone, Debug)]
struct Flows {
    rows: [Vec<u64>; 2],
}

impl Flows {
    fn new() -> Self {
        Self { rows: [vec![0; CELLS], vec![0; CELLS]] }
    }

    fn cell(flow: u64, row: usize) -> usize {
        (flow.wrapping_mul(ROW_SALTS[row]) >> 32) as usize % CELLS
    }

    fn finish_tag(&self, flow: u64) -> u64 {
        (0..2).map(|row| self.rows[row][Self::cell(flow, row)]).min().unwrap_or(0)
    }

    fn raise(&mut self, flow: u64, tag: u64) {
        for row in 0..2 {
            let cell = &mut self.rows[row][Self::cell(flow, row)];
            *cell = (*cell).max(tag);
        }
    }

    fn give_back(&mut self, flow: u64, cost: u64) {
        for row in 0..2 {
            let cell = &mut self.rows[row][Self::cell(flow, row)];
            *cell = cell.saturating_sub(cost);
        }
    }
}

type Entry = (u64, u64, u32);

/// The queue. It allocates only while it grows to its longest.
#[derive(Clone, Debug)]
pub struct FairQueue {
    slab: Vec<Option<(u64, Waiting)>>,
    free: Vec<u32>,
    first: BinaryHeap<Reverse<Entry>>,
    last: BinaryHeap<Entry>,
    callers: Flows,
    keys: Flows,
    virtual_time: u64,
    sequence: u64,
    len: usize,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            slab: Vec::new(),
            free: Vec::new(),
            first: BinaryHeap::new(),
            last: BinaryHeap::new(),
            callers: Flows::new(),
            keys: Flows::new(),
            virtual_time: 0,
            sequence: 0,
            len: 0,
        }
    }
}

impl FairQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The tag that the request would get now.
    pub fn tag(&self, head: &RequestHead) -> u64 {
        let (caller, key) = flows(head);
        self.virtual_time.max(self.callers.finish_tag(caller)).max(self.keys.finish_tag(key))
    }

    /// Charges the request to its caller and its key.
    ///
    /// Each is charged from its own finish tag: were the key charged from the request's tag, a hot
    /// caller would raise every key that it asks for to its own level, and with them everybody.
    pub fn charge(&mut self, head: &RequestHead, priority: u8) {
        let (caller, key) = flows(head);
        let (now, cost) = (self.virtual_time, cost(priority));
        self.callers.raise(caller, self.callers.finish_tag(caller).max(now) + cost);
        self.keys.raise(key, self.keys.finish_tag(key).max(now) + cost);
    }

    /// Notes that a request tagged `tag` begins service.
    pub fn begin(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Puts a request in and returns its place, valid until it leaves.
    pub fn push(&mut self, waiting: Waiting) -> u32 {
        self.sequence += 1;
        let (tag, sequence) = (waiting.tag, self.sequence);
        let place = self.free.pop().unwrap_or_else(|| {
            self.slab.push(None);
            (self.slab.len() - 1) as u32
        });
        self.slab[place as usize] = Some((sequence, waiting));
        self.first.push(Reverse((tag, sequence, place)));
        self.last.push((tag, sequence, place));
        self.len += 1;
        self.drop_stale();
        place
    }

    /// The request that is served next.
    pub fn peek(&mut self) -> Option<&Waiting> {
        while let Some(Reverse((_, sequence, place))) = self.first.peek().copied() {
            if self.holds(sequence, place) {
                return self.slab[place as usize].as_ref().map(|(_, waiting)| waiting);
            }
            self.first.pop();
        }
        None
    }

    /// Takes out the request that is served next.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.peek()?;
        let Reverse((_, _, place)) = self.first.pop()?;
        self.take(place)
    }

    /// Tag of the request that would be evicted first.
    pub fn last_tag(&mut self) -> Option<u64> {
        while let Some((tag, sequence, place)) = self.last.peek().copied() {
            if self.holds(sequence, place) {
                return Some(tag);
            }
            self.last.pop();
        }
        None
    }

    /// Takes out the request with the highest tag and gives its flows their charge back.
    pub fn evict(&mut self, priority: impl Fn(&RequestHead) -> u8) -> Option<Waiting> {
        self.last_tag()?;
        let (_, _, place) = self.last.pop()?;
        let waiting = self.take(place)?;
        let (caller, key) = flows(&waiting.head);
        let cost = cost(priority(&waiting.head));
        self.callers.give_back(caller, cost);
        self.keys.give_back(key, cost);
        Some(waiting)
    }

    /// Takes out the request at `place`.
    pub fn take(&mut self, place: u32) -> Option<Waiting> {
        let (_, waiting) = self.slab.get_mut(place as usize)?.take()?;
        self.free.push(place);
        self.len -= 1;
        Some(waiting)
    }

    /// All waiting requests with their places, in no useful order.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Waiting)> {
        self.slab
            .iter()
            .enumerate()
            .filter_map(|(place, slot)| slot.as_ref().map(|(_, one)| (place as u32, one)))
    }

    fn holds(&self, sequence: u64, place: u32) -> bool {
        self.slab[place as usize].as_ref().is_some_and(|(held, _)| *held == sequence)
    }

    /// Guards against the heaps growing without end from entries that left by the other heap: it
    /// would show as memory that rises under load. Each heap is cut back to what still waits once
    /// most of it is stale, which costs constant time per request.
    fn drop_stale(&mut self) {
        let most = 2 * self.len + 64;
        let slab = &self.slab;
        let holds = |sequence: u64, place: u32| {
            slab[place as usize].as_ref().is_some_and(|(held, _)| *held == sequence)
        };
        if self.first.len() > most {
            self.first.retain(|Reverse((_, sequence, place))| holds(*sequence, *place));
        }
        if self.last.len() > most {
            self.last.retain(|(_, sequence, place)| holds(*sequence, *place));
        }
    }
}

/// How far behind a newcomer's tag a waiting request's has to be to lose its place to it.
pub fn eviction_margin(priority: u8) -> u64 {
    EVICTION_MARGIN * cost(priority)
}

fn cost(priority: u8) -> u64 {
    COST / (u64::from(priority.min(9)) + 1)
}

fn flows(head: &RequestHead) -> (u64, u64) {
    let salt = u64::from(head.service).wrapping_mul(ROW_SALTS[1]);
    (head.caller ^ salt, head.key ^ salt)
}
