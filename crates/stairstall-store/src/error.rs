use quick_error::quick_error;
use stairstall_core::Verdict;
use stairstall_http::CallError;

quick_error! {
    /// A call to the store that brought no usable answer.
    #[derive(Debug)]
    pub enum StoreError {
        /// The call failed.
        Call(source: CallError) {
            display("store: {source}")
            from()
            source(source)
        }
        /// The store refused the call or could not carry it out.
        Status(status: u16) {
            display("store answered with status {status}")
        }
        /// The value is larger than the store takes.
        TooLarge(bytes: usize) {
            display("a value of {bytes} bytes is larger than the store takes")
        }
        /// The watch ended; start again from a listing.
        WatchEnded {
            display("the watch ended")
        }
    }
}

impl StoreError {
    /// Says whether a write may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Call(error) => error.verdict(),
            Self::TooLarge(_) => Verdict::NotRun,
            Self::Status(_) | Self::WatchEnded => Verdict::MayHaveRun,
        }
    }
}
