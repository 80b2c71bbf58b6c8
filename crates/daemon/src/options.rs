//! Command-line arguments and the settings file, merged into [`Settings`].

mod agent;
mod arguments;
mod balancer;
mod check;
mod problem;
mod role;
mod settings;

pub use self::{
    agent::Agent, arguments::Arguments, balancer::Balancer, problem::Problem, role::Role,
    settings::Settings,
};
