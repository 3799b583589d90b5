//! Attribute macros for the sets of derives that types of the workspace share.
//!
//! - [`macro@data`]: plain data that can be compared, cloned and debug-printed.
//! - [`macro@wire`]: `data` that is also read from and written to JSON; unknown fields are refused.
//! - [`macro@key`]: a small `Copy` value that is ordered, hashed and serialized; variants of an enum
//!   are snake case in JSON.

use proc_macro::TokenStream;

/// Derives `Clone`, `Debug` and `PartialEq`.
#[proc_macro_attribute]
pub fn data(_args: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes("#[derive(Clone, Debug, PartialEq)]", item)
}

/// Derives what [`macro@data`] does, and `Serialize` and `Deserialize` with unknown fields refused.
#[proc_macro_attribute]
pub fn wire(_args: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(
        "#[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
         #[serde(deny_unknown_fields)]",
        item,
    )
}

/// Derives `Clone`, `Copy`, `Debug`, the comparisons, `Hash`, `Serialize` and `Deserialize`.
///
/// The variants of an enum are serialized in snake case.
#[proc_macro_attribute]
pub fn key(_args: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(
        "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
         #[derive(::serde::Serialize, ::serde::Deserialize)]
         #[serde(rename_all = \"snake_case\")]",
        item,
    )
}

fn prepend_attributes(attributes: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = attributes.parse().expect("the attributes are valid Rust");
    out.extend(item);
    out
}
