// Table-driven validation of JSON objects: settings of the daemon and the operators' policy.
//
// A schema is a constant table. The same table validates values, fills in defaults and generates the key documentation,
// so that the three cannot diverge. All errors are reported in one pass.
//
// Usage:
//   constexpr Field listenFields[] = {
//       { .key = "port", .type = FieldType::Integer, .minimum = 1, .maximum = 65535, .defaultJson = "8080",
//         .doc = "TCP port of the HTTP interface" },
//   };
//   constexpr Field settingsFields[] = {
//       { .key = "listen", .type = FieldType::Object, .doc = "HTTP interface", .fields = listenFields },
//   };
//   const InputErrors errors = checkSchema(text.object, { settingsFields }, locatorFor(file, text.keys));
#pragma once

#include "base/json.h"

#include <QJsonObject>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::base {

enum class FieldType {
    Boolean,
    Integer,    // whole number within minimum..maximum
    Number,     // number within minimum..maximum
    Text,       // string with minimum..maximum characters
    Choice,     // one of `choices`
    TextList,   // array of minimum..maximum different strings
    Object,     // object described by `fields`
    ObjectMap,  // object with arbitrary keys; each value is an object described by `fields`
    ObjectList, // array of minimum..maximum objects described by `fields`
};

struct Field;

// A condition between keys of one object. `holds` receives the object with defaults filled in and is only called when
// the fields of the object are valid.
struct Rule {
    std::string_view key; // key that the error names
    std::string_view doc; // condition as text: "pressureLeave is less than pressureEnter"
    bool (*holds)(const QJsonObject& object) = nullptr;
};

struct Schema {
    std::span<const Field> fields;
    std::span<const Rule> rules = {};
};

struct Field {
    std::string_view key;
    FieldType type = FieldType::Text;
    double minimum = 0;
    double maximum = 0;
    std::string_view choices = {};     // "in|out"
    std::string_view defaultJson = {}; // default as JSON text; empty: no default
    bool isRequired = false;           // an absent required key is an error
    std::string_view unit = {};        // "ms", "share", "bytes"
    std::string_view doc = {};
    std::span<const Field> fields = {}; // Object, ObjectMap, ObjectList
    std::span<const Rule> rules = {};   // Object, ObjectMap, ObjectList
};

// Validates `object` and returns every error: unknown keys (with the closest known key), wrong types, values out of
// range, missing keys and violated rules. `path` is the path of `object` itself.
InputErrors checkSchema(
    const QJsonObject& object, const Schema& schema, const Locator& locate, const std::string& path = {});

// `object` with defaults for absent keys. An absent Object is built from the defaults of its fields.
QJsonObject withDefaults(const QJsonObject& object, const Schema& schema);

// One key of a schema for documentation. `path` contains `<name>` for the arbitrary keys of an ObjectMap and `[]` for
// the elements of an ObjectList.
struct SchemaRow {
    std::string path;
    std::string type;
    std::string range;
    std::string defaultJson;
    std::string unit;
    std::string doc;
};

std::vector<SchemaRow> schemaRows(const Schema& schema, const std::string& path = {});

// Accepted type and range of a field as text: "integer 1..65535", "one of in, out".
std::string acceptedText(const Field& field);

// Markdown table of all keys of a schema.
std::string schemaMarkdown(const Schema& schema);

} // namespace lacewing::base
