use quick_error::quick_error;
use rhubarbfall_core::EntryId;

quick_error! {
    /// Why a message was not handed to the network.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SendError {
        /// No peer has this identifier.
        UnknownPeer(entry: EntryId) {
            display("no peer is known as {entry}")
        }
        /// The messages that wait for this peer are at their bound.
        QueueFull(entry: EntryId) {
            display("too many messages wait for {entry}")
        }
    }
}
