#pragma once

#include <oleandercross/config/manifest.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace oleandercross::config {

// The manifest with all its lists in ascending order. The order in a file has no meaning, and
// parseManifest() returns manifests in this form.
Manifest normalized(Manifest manifest);

// SHA-256 over the JSON form of the normalised manifest, as hexadecimal digits. Two processes hold
// the same configuration if and only if their digests agree.
std::string digest(const Manifest &manifest);

// The JSON form for messages between the project's processes. Keys are the member names, durations
// are milliseconds with the suffix Ms.
Json::Value encode(const Manifest &manifest);

// Fails with BadField on a member that is missing or of the wrong type. The whole is not checked
// again, because the sender accepted it.
std::optional<Manifest> decodeManifest(const Json::Value &value);

} // namespace oleandercross::config
