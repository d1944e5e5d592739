//! Admission of connections, and of the memory that they hold.
//!
//! Load pattern: clients that nobody controls open connections, send parts of requests and stay. Each
//! holds a descriptor and memory for as long as it likes, until the process has none left for callers,
//! its store, its peers and its workers.
//!
//! [`Shares`] divides the limits of the process among its listeners and what it needs itself. A
//! [`ConnectionTable`] keeps one listener within its share: while there is room, everyone is served;
//! when room is short, the connection that is furthest behind is closed for one that advances.
//! Closing promises nothing to its client, which may send its request again.

mod shares;
mod table;

pub use shares::{ListenerShare, ProcessLimits, ProcessUse, Shares};
pub use table::{Admission, CloseReason, ConnectionId, ConnectionLimits, ConnectionTable};
