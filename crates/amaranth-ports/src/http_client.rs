//! The HTTP client that the port modules share.
