use rhubarbfall_core::ResultCode;
use rhubarbfall_document::api::{KEY_HEADER, OperatorErrorResponse};
use rhubarbfall_document::{AccessKey, Document, KeyDigest, KeyOwner, digest_key};
use xitca_web::http::HeaderMap;

use crate::Shared;

/// Returns the digest of the key in a request's header, or an error if it is missing or malformed.
pub(super) fn key_digest(
    shared: &Shared,
    headers: &HeaderMap,
) -> Result<KeyDigest, OperatorErrorResponse> {
    let key_rejected = || OperatorErrorResponse::new(ResultCode::OperatorKeyRefused);
    let key = text_header(headers, KEY_HEADER)?.ok_or_else(key_rejected)?;
    let key: AccessKey = key.parse().map_err(|_| key_rejected())?;
    let pepper = &shared.settings.secrets.key_pepper;
    Ok(digest_key(pepper, key.reveal()))
}

/// Returns the owner of a granted key, or an error if the document does not grant it.
pub(super) fn key_owner(
    document: &Document,
    digest: &KeyDigest,
) -> Result<KeyOwner, OperatorErrorResponse> {
    let granted_key = document.key(digest);
    granted_key
        .map(|key| key.owner.clone())
        .ok_or_else(|| OperatorErrorResponse::new(ResultCode::OperatorKeyRefused))
}

/// Rejects a request whose key does not belong to an operator in the document in force.
pub(crate) fn check_operator(
    shared: &Shared,
    headers: &HeaderMap,
) -> Result<(), OperatorErrorResponse> {
    let digest = key_digest(shared, headers)?;
    let document = shared.document.load_full();
    let document = document.ok_or_else(|| OperatorErrorResponse::new(ResultCode::NotReady))?;
    match key_owner(&document, &digest)? {
        KeyOwner::Operator(_) => Ok(()),
        KeyOwner::Team(_) => Err(OperatorErrorResponse::new(ResultCode::OperatorKeyRefused)),
    }
}

/// Returns the value of a header; rejects a header that occurs more than once.
pub(super) fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, OperatorErrorResponse> {
    let bad_request = |fault: &str| {
        OperatorErrorResponse::new(ResultCode::BadRequest).message(format!("header {name} {fault}"))
    };
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request("occurs more than once"));
    }
    let text = value
        .to_str()
        .map_err(|_| bad_request("contains characters other than visible ASCII"))?;
    Ok(Some(text))
}
