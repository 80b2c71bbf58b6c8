//! An HTTP/1.1 upstream with a limited number of slots. It starts cold, collapses under too much
//! load while cold, and can be made to report a false status.

mod capacity;
mod counts;
mod fault;
mod server;
mod settings;

pub use self::{
    capacity::Capacity,
    counts::Counts,
    fault::Fault,
    server::{Server, checksum},
    settings::Settings,
};
