//! Collects the names that leave the process from the syntax trees of the sources.

use proc_macro2::{TokenStream, TokenTree};
use std::collections::BTreeMap;
use std::path::Path;
use syn::visit::{self, Visit};
use syn::{Attribute, Expr, ExprMethodCall, Fields, ItemEnum, ItemStruct, Lit, Macro, Meta, Token};

/// Names by kind, each with the number of places that define or use it.
#[derive(Default)]
pub(crate) struct ExternalNames {
    counts: BTreeMap<(&'static str, String), usize>,
}

/// Attributes of a type, field or variant that decide its outer name.
#[derive(Default)]
struct OuterName {
    renamed: Option<String>,
    rename_all: Option<String>,
    aliases: Vec<String>,
    /// The Rust names below this item do not leave the process (`untagged`, `from`, `transparent`).
    hidden: bool,
    /// Whether the field is neither written nor read.
    skipped: bool,
}

impl ExternalNames {
    /// Names in one source text.
    pub(crate) fn of_source(source: &str) -> ExternalNames {
        let mut names = ExternalNames::default();
        names.visit_file(&syn::parse_file(source).expect("Rust source"));
        names
    }

    /// Adds the names in all sources below a folder, except the modules' own tests.
    pub(crate) fn collect_folder(&mut self, folder: &Path) {
        for entry in std::fs::read_dir(folder).expect("source folder") {
            let path = entry.expect("folder entry").path();
            if path.is_dir() {
                self.collect_folder(&path);
            } else if path.extension().is_some_and(|end| end == "rs") && !path.ends_with("tests.rs")
            {
                let source = std::fs::read_to_string(&path).expect("source file");
                self.visit_file(&syn::parse_file(&source).expect("Rust source"));
            }
        }
    }

    /// One `kind name count` a line, sorted.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.counts
            .iter()
            .map(|((kind, name), count)| format!("{kind} {name} {count}"))
            .collect()
    }

    fn add(&mut self, kind: &'static str, name: impl Into<String>) {
        *self.counts.entry((kind, name.into())).or_default() += 1;
    }

    /// A text literal that looks like a key, path, field or value: no white space, at least one letter. Names of
    /// format arguments are left out, as they do not leave the process.
    fn add_text(&mut self, text: &str) {
        let without_arguments = strip_argument_names(text);
        let is_name = !without_arguments.contains(char::is_whitespace)
            && without_arguments.contains(|letter: char| letter.is_ascii_alphabetic());
        if is_name {
            self.add("text", without_arguments);
        }
    }

    /// Adds the outer name of a field or variant, and its aliases.
    fn add_outer_names(
        &mut self,
        kind: &'static str,
        outer: OuterName,
        rust_name: &str,
        case: Option<&str>,
    ) {
        let name = outer.renamed.unwrap_or_else(|| apply_case(rust_name, case));
        self.add(kind, name);
        for alias in outer.aliases {
            self.add(kind, alias);
        }
    }

    fn add_fields(&mut self, kind: &'static str, fields: &Fields, case: Option<&str>) {
        for field in fields {
            let outer = outer_name(&field.attrs);
            if let Some(ident) = field.ident.as_ref().filter(|_| !outer.skipped) {
                self.add_outer_names(kind, outer, &ident.to_string(), case);
            }
        }
    }

    fn add_variants(&mut self, kind: &'static str, item: &ItemEnum, container: &OuterName) {
        let fields_kind = if kind == "command" { "flag" } else { kind };
        let fields_case = (fields_kind == "flag").then_some("kebab-case");
        let case = container.rename_all.as_deref();
        for variant in &item.variants {
            self.add_fields(fields_kind, &variant.fields, fields_case);
            if !container.hidden {
                let outer = outer_name(&variant.attrs);
                self.add_outer_names(kind, outer, &variant.ident.to_string(), case);
            }
        }
    }

    /// Field names of one log line: all arguments in front of the message.
    fn add_log_fields(&mut self, tokens: &TokenStream) {
        for argument in split_at_commas(tokens) {
            let name: Vec<&TokenTree> = argument
                .iter()
                .skip_while(|token| is_sigil(token))
                .take_while(|token| !is_punctuation(token, '='))
                .collect();
            match name.first() {
                Some(TokenTree::Ident(_)) => {
                    let name: String = name.iter().map(ToString::to_string).collect();
                    self.add("log", name);
                }
                Some(_) => break,
                None => {}
            }
        }
    }

    fn add_texts_of_tokens(&mut self, tokens: &TokenStream) {
        for token in tokens.clone() {
            match token {
                TokenTree::Group(group) => self.add_texts_of_tokens(&group.stream()),
                TokenTree::Literal(literal) => {
                    if let Lit::Str(text) = Lit::new(literal) {
                        self.add_text(&text.value());
                    }
                }
                _ => {}
            }
        }
    }
}

impl<'ast> Visit<'ast> for ExternalNames {
    fn visit_item_struct(&mut self, item: &'ast ItemStruct) {
        let container = outer_name(&item.attrs);
        if derives(&item.attrs, &["Serialize", "Deserialize"]) && !container.hidden {
            self.add_fields("field", &item.fields, container.rename_all.as_deref());
        }
        if derives(&item.attrs, &["Parser", "Args"]) {
            self.add_fields("flag", &item.fields, Some("kebab-case"));
        }
        visit::visit_item_struct(self, item);
    }

    fn visit_item_enum(&mut self, item: &'ast ItemEnum) {
        let mut container = outer_name(&item.attrs);
        if derives(&item.attrs, &["Serialize", "Deserialize"]) {
            self.add_variants("field", item, &container);
        }
        if derives(&item.attrs, &["Subcommand", "ValueEnum"]) {
            container.rename_all = Some("kebab-case".to_string());
            self.add_variants("command", item, &container);
        }
        visit::visit_item_enum(self, item);
    }

    fn visit_attribute(&mut self, _: &'ast Attribute) {}

    fn visit_lit_str(&mut self, text: &'ast syn::LitStr) {
        self.add_text(&text.value());
    }

    fn visit_lit_byte_str(&mut self, text: &'ast syn::LitByteStr) {
        self.add_text(&String::from_utf8_lossy(&text.value()));
    }

    /// The reason of an `expect` is for the developer who reads a panic.
    fn visit_expr_method_call(&mut self, call: &'ast ExprMethodCall) {
        if call.method == "expect" {
            self.visit_expr(&call.receiver);
        } else {
            visit::visit_expr_method_call(self, call);
        }
    }

    fn visit_macro(&mut self, call: &'ast Macro) {
        let name = call.path.segments.last().map(|part| part.ident.to_string());
        let is_log = ["error", "warn", "info", "debug", "trace"]
            .iter()
            .any(|level| name.as_deref() == Some(level));
        if is_log {
            self.add_log_fields(&call.tokens);
        }
        self.add_texts_of_tokens(&call.tokens);
    }
}

fn derives(attributes: &[Attribute], wanted: &[&str]) -> bool {
    let mut found = false;
    for attribute in attributes {
        if !attribute.path().is_ident("derive") {
            continue;
        }
        let _ = attribute.parse_nested_meta(|meta| {
            found |= wanted.iter().any(|name| meta.path.is_ident(name));
            Ok(())
        });
    }
    found
}

fn outer_name(attributes: &[Attribute]) -> OuterName {
    let mut outer = OuterName::default();
    let relevant = attributes.iter().filter(|attribute| {
        ["serde", "command", "arg", "value"]
            .iter()
            .any(|name| attribute.path().is_ident(name))
    });
    for attribute in relevant {
        let Meta::List(list) = &attribute.meta else {
            continue;
        };
        let parser = syn::punctuated::Punctuated::<Meta, Token![,]>::parse_terminated;
        for meta in list.parse_args_with(parser).expect("attribute") {
            outer.read(&meta);
        }
    }
    outer
}

impl OuterName {
    fn read(&mut self, meta: &Meta) {
        let name = meta
            .path()
            .get_ident()
            .map(ToString::to_string)
            .unwrap_or_default();
        if ["untagged", "from", "try_from", "transparent"].contains(&name.as_str()) {
            self.hidden = true;
        }
        self.skipped |= name == "skip";
        let Meta::NameValue(pair) = meta else { return };
        let Expr::Lit(literal) = &pair.value else {
            return;
        };
        let Lit::Str(text) = &literal.lit else { return };
        match name.as_str() {
            "rename" | "name" | "long" => self.renamed = Some(text.value()),
            "rename_all" => self.rename_all = Some(text.value()),
            "alias" | "visible_alias" => self.aliases.push(text.value()),
            _ => {}
        }
    }
}

/// A Rust name in the given case; names of fields and variants are `snake_case` and `PascalCase`.
fn apply_case(name: &str, case: Option<&str>) -> String {
    let mut words = String::new();
    for letter in name.chars() {
        if letter.is_uppercase() && !words.is_empty() {
            words.push('_');
        }
        words.extend(letter.to_lowercase());
    }
    match case {
        Some("kebab-case") => words.replace('_', "-"),
        Some("snake_case") => words,
        Some("lowercase") => words.replace('_', ""),
        Some(other) => panic!("unknown case {other}"),
        None => name.to_string(),
    }
}

/// A format text without the names of its arguments: `{id}/{number:>3}` becomes `{}/{:>3}`.
fn strip_argument_names(text: &str) -> String {
    let mut stripped = String::new();
    let mut in_name = false;
    for letter in text.chars() {
        if matches!(letter, ':' | '}') {
            in_name = false;
        }
        if !in_name {
            stripped.push(letter);
        }
        if letter == '{' {
            in_name = true;
        }
    }
    stripped
}

fn split_at_commas(tokens: &TokenStream) -> Vec<Vec<TokenTree>> {
    let mut arguments = vec![Vec::new()];
    for token in tokens.clone() {
        if is_punctuation(&token, ',') {
            arguments.push(Vec::new());
        } else if let Some(last) = arguments.last_mut() {
            last.push(token);
        }
    }
    arguments
}

fn is_sigil(token: &TokenTree) -> bool {
    is_punctuation(token, '%') || is_punctuation(token, '?')
}

fn is_punctuation(token: &TokenTree, wanted: char) -> bool {
    matches!(token, TokenTree::Punct(punctuation) if punctuation.as_char() == wanted)
}
