//! Request queue of one daemon with fair queueing between callers and between keys.
//!
//! One caller, or many callers of one key, may send several times their share of the requests. In a
//! single FIFO all other callers would wait behind them and be refused as often.
//!
//! The queue uses start-time fair queueing. The tag of a request is the maximum of the finish tags
//! of its caller and its key and of the queue's virtual time. The request with the lowest tag is
//! served first; if the queue is full, the one with the highest tag is evicted. A hot flow thus
//! queues behind its own requests, and other flows overtake it. Finish tags are kept in two hashed
//! rows of fixed size. A flow uses the lower of its two cells, so other flows delay it only if both
//! cells collide with hot flows.
//!
//! A request of priority `p` costs 1 / (p + 1). Under overload a caller of priority 9 is served ten
//! times as often as a caller of priority 0, which still gets a tenth.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::{Outcome, RequestHead, UpstreamId};

/// Cells per row. With 10 hot flows, another flow collides with them in both rows with probability
/// (10 / 1024)^2, about 1 in 10,000.
const CELLS_PER_ROW: usize = 1_024;

/// Cost of one request of priority 0. It is divisible by every weight from 1 to 10.
const BASE_COST: u64 = 2_520;

/// Minimum lead of an arriving request over the queued one that it evicts from a full queue, in
/// requests of the arriving flow. Flows with equal demand differ by less, and a refusal after
/// queueing is worse for its caller than an immediate one.
const EVICTION_MARGIN_REQUESTS: u64 = 2;

/// Odd hash multipliers (from the golden ratio and xxHash) that give the rows independent cells.
const ROW_SALTS: [u64; 2] = [0x9E37_79B9_7F4A_7C15, 0xC2B2_AE3D_27D4_EB4F];

/// A queued request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Attributes of the request.
    pub head: RequestHead,
    /// Time of arrival at this daemon.
    pub arrived_us: u64,
    /// Time at which the request is refused if it is still queued.
    pub expires_us: u64,
    /// Attempts made so far.
    pub attempts: u8,
    /// Upstream of the failed last attempt, which the next one avoids.
    pub avoid: Option<UpstreamId>,
    /// Most severe outcome of the attempts so far: `Broken` if any was.
    pub worst: Option<Outcome>,
    /// Start tag for fair queueing.
    pub tag: u64,
}

#[derive(Clone, Debug)]
struct FlowTags {
    rows: [Vec<u64>; 2],
}

impl FlowTags {
    fn new() -> Self {
        Self { rows: [vec![0; CELLS_PER_ROW], vec![0; CELLS_PER_ROW]] }
    }

    fn cell(flow: u64, row: usize) -> usize {
        (flow.wrapping_mul(ROW_SALTS[row]) >> 32) as usize % CELLS_PER_ROW
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

    fn refund(&mut self, flow: u64, cost: u64) {
        for row in 0..2 {
            let cell = &mut self.rows[row][Self::cell(flow, row)];
            *cell = cell.saturating_sub(cost);
        }
    }
}

type HeapEntry = (u64, u64, u32);

/// The fair queue. It allocates only while it grows beyond its previous maximum length.
#[derive(Clone, Debug)]
pub struct FairQueue {
    slab: Vec<Option<(u64, Waiting)>>,
    free: Vec<u32>,
    by_lowest_tag: BinaryHeap<Reverse<HeapEntry>>,
    by_highest_tag: BinaryHeap<HeapEntry>,
    callers: FlowTags,
    keys: FlowTags,
    virtual_time: u64,
    sequence: u64,
    len: usize,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            slab: Vec::new(),
            free: Vec::new(),
            by_lowest_tag: BinaryHeap::new(),
            by_highest_tag: BinaryHeap::new(),
            callers: FlowTags::new(),
            keys: FlowTags::new(),
            virtual_time: 0,
            sequence: 0,
            len: 0,
        }
    }
}

impl FairQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Start tag for a request that is queued now.
    pub fn tag(&self, head: &RequestHead) -> u64 {
        let (caller, key) = flows(head);
        self.virtual_time.max(self.callers.finish_tag(caller)).max(self.keys.finish_tag(key))
    }

    /// Charges the cost of the request to the flows of its caller and its key.
    ///
    /// Each flow is charged from its own finish tag. If the key were charged from the tag of the
    /// request, a hot caller would raise each key that it requests to its own finish tag, and so
    /// delay all callers of these keys.
    pub fn charge(&mut self, head: &RequestHead, priority: u8) {
        let (caller, key) = flows(head);
        let (now, cost) = (self.virtual_time, cost(priority));
        self.callers.raise(caller, self.callers.finish_tag(caller).max(now) + cost);
        self.keys.raise(key, self.keys.finish_tag(key).max(now) + cost);
    }

    /// Advances the virtual time to the tag of a request whose service begins.
    pub fn advance_virtual_time(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Adds a request and returns its slab index, valid until the request is removed.
    pub fn push(&mut self, waiting: Waiting) -> u32 {
        self.sequence += 1;
        let (tag, sequence) = (waiting.tag, self.sequence);
        let place = self.free.pop().unwrap_or_else(|| {
            self.slab.push(None);
            (self.slab.len() - 1) as u32
        });
        self.slab[place as usize] = Some((sequence, waiting));
        self.by_lowest_tag.push(Reverse((tag, sequence, place)));
        self.by_highest_tag.push((tag, sequence, place));
        self.len += 1;
        self.drop_stale_entries();
        place
    }

    /// Returns the request to serve next.
    pub fn peek(&mut self) -> Option<&Waiting> {
        while let Some(Reverse((_, sequence, place))) = self.by_lowest_tag.peek().copied() {
            if self.is_current(sequence, place) {
                return self.slab[place as usize].as_ref().map(|(_, waiting)| waiting);
            }
            self.by_lowest_tag.pop();
        }
        None
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.peek()?;
        let Reverse((_, _, place)) = self.by_lowest_tag.pop()?;
        self.remove(place)
    }

    /// Tag of the request that would be evicted next.
    pub fn highest_tag(&mut self) -> Option<u64> {
        while let Some((tag, sequence, place)) = self.by_highest_tag.peek().copied() {
            if self.is_current(sequence, place) {
                return Some(tag);
            }
            self.by_highest_tag.pop();
        }
        None
    }

    /// Removes the request with the highest tag and refunds its cost to its flows.
    pub fn evict(&mut self, priority: impl Fn(&RequestHead) -> u8) -> Option<Waiting> {
        self.highest_tag()?;
        let (_, _, place) = self.by_highest_tag.pop()?;
        let waiting = self.remove(place)?;
        let (caller, key) = flows(&waiting.head);
        let cost = cost(priority(&waiting.head));
        self.callers.refund(caller, cost);
        self.keys.refund(key, cost);
        Some(waiting)
    }

    /// Removes the request at the slab index `place`.
    pub fn remove(&mut self, place: u32) -> Option<Waiting> {
        let (_, waiting) = self.slab.get_mut(place as usize)?.take()?;
        self.free.push(place);
        self.len -= 1;
        Some(waiting)
    }

    /// Returns all queued requests with their slab indices, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Waiting)> {
        self.slab
            .iter()
            .enumerate()
            .filter_map(|(place, slot)| slot.as_ref().map(|(_, waiting)| (place as u32, waiting)))
    }

    fn is_current(&self, sequence: u64, place: u32) -> bool {
        self.slab[place as usize].as_ref().is_some_and(|(held, _)| *held == sequence)
    }

    /// Removes stale entries from a heap once most of its entries are stale, which costs amortised
    /// constant time per request. A request that leaves by one heap leaves an entry in the other,
    /// so without this the heaps, and the memory use under load, would grow without bound.
    fn drop_stale_entries(&mut self) {
        let max_entries = 2 * self.len + 64;
        let slab = &self.slab;
        let is_current = |sequence: u64, place: u32| {
            slab[place as usize].as_ref().is_some_and(|(held, _)| *held == sequence)
        };
        if self.by_lowest_tag.len() > max_entries {
            self.by_lowest_tag
                .retain(|Reverse((_, sequence, place))| is_current(*sequence, *place));
        }
        if self.by_highest_tag.len() > max_entries {
            self.by_highest_tag.retain(|(_, sequence, place)| is_current(*sequence, *place));
        }
    }
}

/// Minimum tag difference for an arriving request of `priority` to evict a queued one.
pub fn eviction_margin(priority: u8) -> u64 {
    EVICTION_MARGIN_REQUESTS * cost(priority)
}

fn cost(priority: u8) -> u64 {
    BASE_COST / (u64::from(priority.min(9)) + 1)
}

fn flows(head: &RequestHead) -> (u64, u64) {
    let salt = u64::from(head.service).wrapping_mul(ROW_SALTS[1]);
    (head.caller ^ salt, head.key ^ salt)
}
