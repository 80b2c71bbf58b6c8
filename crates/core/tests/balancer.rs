//! Tests of the balancer's router with invalid input, faults and load.

#[path = "balancer/faults.rs"]
mod faults;
#[path = "balancer/fixture.rs"]
mod fixture;
#[path = "balancer/hold.rs"]
mod hold;
#[path = "balancer/liveness.rs"]
mod liveness;
#[path = "balancer/placing.rs"]
mod placing;
#[path = "balancer/policies.rs"]
mod policies;
#[path = "balancer/routing.rs"]
mod routing;
