//! How a process keeps up with the revisions of the configuration.
