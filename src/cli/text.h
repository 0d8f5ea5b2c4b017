#pragma once

#include <oleandercross/config/manifestdelta.h>

#include <json/value.h>

#include <string>
#include <vector>

namespace oleandercross::cli {

// Rows with aligned columns, separated by two blanks; the first row is the heading.
std::string table(const std::vector<std::vector<std::string>> &rows);

// One "key: value" line per member of an object, nested members joined with a dot.
std::string memberLines(const Json::Value &object);

// The status of the cluster on one screen. Nodes beyond the limit are only counted, those that are
// behind or not live first.
std::string statusText(const Json::Value &status);

// Spans in Zipkin v2 JSON as a tree with start offsets and durations in milliseconds. Spans whose
// parent is absent are roots.
std::string traceTree(const Json::Value &spans);

// One line per difference: "+ account x", "- service y", "~ account z: weight 1 -> 2".
std::string deltaText(const config::ManifestDelta &delta, const config::Manifest &base);

} // namespace oleandercross::cli
