use quick_error::quick_error;
use stairstall_core::Verdict;
use stairstall_http::CallError;

quick_error! {
    /// A store call that failed to return a usable response.
    #[derive(Debug)]
    pub enum StoreError {
        /// The HTTP call failed.
        Call(source: CallError) {
            display("store: {source}")
            from()
            source(source)
        }
        /// The store refused the call or failed to execute it.
        Status(status: u16) {
            display("store answered with status {status}")
        }
        /// The value exceeds the size limit of the store.
        TooLarge(bytes: usize) {
            display("a value of {bytes} bytes is larger than the store takes")
        }
        /// The watch ended; list the keys again and open a new watch.
        WatchEnded {
            display("the watch ended")
        }
    }
}

impl StoreError {
    /// Returns whether a write may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Call(error) => error.verdict(),
            Self::TooLarge(_) => Verdict::NotRun,
            Self::Status(_) | Self::WatchEnded => Verdict::MayHaveRun,
        }
    }
}
