#pragma once

#include <oleandercross/config/manifestdelta.h>

#include <json/value.h>

#include <string>
#include <vector>

namespace oleandercross::cli {

// Formats rows with aligned columns that are separated by two blanks. The first row is the header.
std::string table(const std::vector<std::vector<std::string>> &rows);

// Returns one "key: value" line per member of an object; keys of nested members are joined by dots.
std::string memberLines(const Json::Value &object);

// Returns the status of the cluster on one screen. The nodes that are not live or have an older
// revision come first; nodes beyond the row limit are only counted.
std::string statusText(const Json::Value &status);

// Formats Zipkin v2 spans as a tree with start offsets and durations in milliseconds. Spans whose
// parent is absent are roots.
std::string traceTree(const Json::Value &spans);

// Returns one line per difference: "+ account x", "- service y", "~ account z: weight 1 -> 2".
std::string deltaText(const config::ManifestDelta &delta, const config::Manifest &base);

} // namespace oleandercross::cli
