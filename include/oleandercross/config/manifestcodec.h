#pragma once

#include <oleandercross/config/manifest.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace oleandercross::config {

// Returns the manifest with all lists sorted in ascending order. The order of lists in a file is
// not significant; parseManifest() returns manifests in this form.
Manifest normalized(Manifest manifest);

// Returns the SHA-256 of the normalised manifest's JSON encoding, as hexadecimal digits. Two
// processes have the same configuration if and only if their digests are equal.
std::string digest(const Manifest &manifest);

// Returns the JSON encoding for messages between processes. Keys are the member names; durations
// are in milliseconds and have the suffix Ms.
Json::Value encode(const Manifest &manifest);

// Decodes the result of encode(). Fails with BadField if a member is missing or of the wrong type.
// Does not validate the manifest as a whole, because the sender has done so.
std::optional<Manifest> decodeManifest(const Json::Value &value);

} // namespace oleandercross::config
