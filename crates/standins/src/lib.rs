//! Test-only stand-ins for what surrounds the product: store, upstream, fabric, caller.
