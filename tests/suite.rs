//! Integration tests: real processes, stand-ins around them, one file a feature.

mod support;

mod whole_path;
