use quick_error::quick_error;
use rhubarbfall_core::EntryId;

quick_error! {
    /// Why a message could not be queued.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SendError {
        /// The entry is not in the current list of peers.
        UnknownPeer(entry: EntryId) {
            display("unknown peer {entry}")
        }
        /// The queue of messages to this peer is full.
        QueueFull(entry: EntryId) {
            display("message queue for peer {entry} is full")
        }
    }
}
