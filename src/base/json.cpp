// JSON scanner with line numbers, and paths of values.
#include "base/json.h"

#include "base/names.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace lacewing::base {

namespace {

    constexpr EnumNames<InputError::Code, 10> codeNames { {
        { InputError::Code::Syntax, "syntax" },
        { InputError::Code::NotAnObject, "notAnObject" },
        { InputError::Code::DuplicateKey, "duplicateKey" },
        { InputError::Code::TooLarge, "tooLarge" },
        { InputError::Code::TooDeep, "tooDeep" },
        { InputError::Code::UnknownKey, "unknownKey" },
        { InputError::Code::WrongType, "wrongType" },
        { InputError::Code::OutOfRange, "outOfRange" },
        { InputError::Code::Missing, "missing" },
        { InputError::Code::Contradiction, "contradiction" },
    } };

    bool isPlainKey(std::string_view key)
    {
        const auto isPlain = [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
        };
        return !key.empty() && std::all_of(key.begin(), key.end(), isPlain);
    }

    struct Duplicate {
        std::string path;
        int firstLine = 0;
        int line = 0;
    };

    // Scans JSON text and records the line of each key. Text with syntax errors is scanned as far as possible;
    // QJsonDocument reports those errors.
    struct Scanner {
        std::string_view text;
        int maximumDepth = 0;
        std::size_t position = 0;
        int line = 1;
        int tooDeepLine = 0; // line of the first value nested deeper than maximumDepth; 0: none
        KeyLines keys;
        std::vector<Duplicate> duplicates;
    };

    void skipSpace(Scanner& scanner)
    {
        while (scanner.position < scanner.text.size()) {
            const char c = scanner.text[scanner.position];
            if (c != ' ' && c != '\t' && c != '\r' && c != '\n')
                return;
            if (c == '\n')
                ++scanner.line;
            ++scanner.position;
        }
    }

    char peek(Scanner& scanner)
    {
        skipSpace(scanner);
        return scanner.position < scanner.text.size() ? scanner.text[scanner.position] : '\0';
    }

    // Reads the string literal at the current position and returns its decoded content.
    std::string readString(Scanner& scanner)
    {
        const std::size_t begin = scanner.position++;
        bool hasEscape = false;
        while (scanner.position < scanner.text.size() && scanner.text[scanner.position] != '"') {
            if (scanner.text[scanner.position] == '\n')
                ++scanner.line;
            if (scanner.text[scanner.position] == '\\') {
                hasEscape = true;
                ++scanner.position;
            }
            ++scanner.position;
        }
        scanner.position = std::min(scanner.position + 1, scanner.text.size());
        const std::string_view literal = scanner.text.substr(begin, scanner.position - begin);
        if (!hasEscape)
            return std::string(literal.substr(1, literal.size() >= 2 ? literal.size() - 2 : 0));
        const QByteArray wrapped = "[" + QByteArray(literal.data(), static_cast<qsizetype>(literal.size())) + "]";
        return QJsonDocument::fromJson(wrapped).array().at(0).toString().toStdString();
    }

    // `parentLine` is the line that lineOfPath() returns for the parent of the scanned value.
    void scanValue(Scanner& scanner, const std::string& path, int depth, int parentLine);

    void recordLine(Scanner& scanner, const std::string& path, int line, int parentLine)
    {
        if (line != parentLine)
            scanner.keys.lines.insert_or_assign(path, line);
    }

    void scanObject(Scanner& scanner, const std::string& path, int depth, int parentLine)
    {
        std::unordered_map<std::string, int> firstLines;
        while (peek(scanner) == '"') {
            const int line = scanner.line;
            const std::string key = readString(scanner);
            const std::string child = childPath(path, key);
            const auto [entry, isNew] = firstLines.emplace(key, line);
            if (!isNew)
                scanner.duplicates.push_back({ child, entry->second, line });
            recordLine(scanner, child, line, parentLine);
            if (peek(scanner) != ':')
                return;
            ++scanner.position;
            scanValue(scanner, child, depth, line);
            if (peek(scanner) != ',')
                break;
            ++scanner.position;
        }
        if (peek(scanner) == '}')
            ++scanner.position;
    }

    void scanArray(Scanner& scanner, const std::string& path, int depth, int parentLine)
    {
        for (std::size_t index = 0; peek(scanner) != ']' && peek(scanner) != '\0'; ++index) {
            const std::string child = elementPath(path, index);
            const int line = scanner.line;
            recordLine(scanner, child, line, parentLine);
            scanValue(scanner, child, depth, line);
            if (peek(scanner) != ',')
                break;
            ++scanner.position;
        }
        if (peek(scanner) == ']')
            ++scanner.position;
    }

    void scanValue(Scanner& scanner, const std::string& path, int depth, int parentLine)
    {
        const char first = peek(scanner);
        const bool isContainer = first == '{' || first == '[';
        if (isContainer && depth >= scanner.maximumDepth) {
            if (scanner.tooDeepLine == 0)
                scanner.tooDeepLine = scanner.line;
            scanner.position = scanner.text.size();
            return;
        }
        if (first == '{') {
            ++scanner.position;
            scanObject(scanner, path, depth + 1, parentLine);
        } else if (first == '[') {
            ++scanner.position;
            scanArray(scanner, path, depth + 1, parentLine);
        } else if (first == '"') {
            readString(scanner);
        } else {
            constexpr std::string_view terminators = ",]}{[\":\n";
            while (scanner.position < scanner.text.size()
                && terminators.find(scanner.text[scanner.position]) == std::string_view::npos)
                ++scanner.position;
        }
    }

    Scanner scan(std::string_view text, int maximumDepth)
    {
        Scanner scanner;
        scanner.text = text;
        scanner.maximumDepth = maximumDepth;
        scanValue(scanner, {}, 0, 1);
        return scanner;
    }

    // Line of a syntax error. QJsonDocument reports a bad literal and a trailing comma after the white space that
    // follows them, which can be the next line.
    int lineOfError(std::string_view text, const QJsonParseError& error)
    {
        std::string_view before = text.substr(0, std::min(static_cast<std::size_t>(error.offset), text.size()));
        if (error.error == QJsonParseError::IllegalValue || error.error == QJsonParseError::MissingObject) {
            const std::size_t last = before.find_last_not_of(" \t\r\n");
            before = before.substr(0, last == std::string_view::npos ? 0 : last + 1);
        }
        return 1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
    }

} // namespace

std::string_view nameOf(InputError::Code code) { return nameOf(codeNames, code); }

std::string describe(const InputError& error)
{
    std::string text = error.file;
    if (error.line > 0)
        text += (text.empty() ? "line " : ":") + std::to_string(error.line);
    if (!text.empty())
        text += ": ";
    if (!error.key.empty())
        text += error.key + ": ";
    text += error.detail;
    if (error.value.empty() && error.accepted.empty())
        return text;
    text += " (";
    if (!error.value.empty())
        text += "value " + error.value;
    if (!error.accepted.empty())
        text += (error.value.empty() ? "accepted " : ", accepted ") + error.accepted;
    return text + ")";
}

Result<ParsedJson, InputErrors> parseJsonObject(std::string_view text, std::string_view file, const JsonLimits& limits)
{
    const auto failure = [&](InputError::Code code, int line, std::string accepted, std::string detail) {
        return InputErrors { { code, std::string(file), line, {}, {}, std::move(accepted), std::move(detail) } };
    };
    if (text.size() > limits.bytes) {
        return failure(InputError::Code::TooLarge, 0, "at most " + std::to_string(limits.bytes) + " bytes",
            "text has " + std::to_string(text.size()) + " bytes");
    }
    Scanner scanner = scan(text, limits.depth);
    if (scanner.tooDeepLine > 0) {
        return failure(InputError::Code::TooDeep, scanner.tooDeepLine,
            "at most " + std::to_string(limits.depth) + " levels", "objects and arrays are nested too deeply");
    }
    QJsonParseError parseError;
    const QByteArray bytes = QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
    const QJsonDocument document = QJsonDocument::fromJson(bytes, &parseError);
    if (parseError.error != QJsonParseError::NoError) {
        return failure(InputError::Code::Syntax, lineOfError(text, parseError), {},
            "JSON syntax error: " + parseError.errorString().toStdString());
    }
    if (!document.isObject())
        return failure(InputError::Code::NotAnObject, 1, "object", "the top level is not an object");
    InputErrors errors;
    for (const Duplicate& duplicate : scanner.duplicates) {
        errors.push_back({ InputError::Code::DuplicateKey, std::string(file), duplicate.line, duplicate.path, {}, {},
            "key appears twice in one object, first in line " + std::to_string(duplicate.firstLine) });
    }
    if (!errors.empty())
        return errors;
    return ParsedJson { document.object(), std::move(scanner.keys) };
}

int lineOfPath(const KeyLines& keys, std::string_view path)
{
    for (std::string current(path); !current.empty(); current = parentPath(current)) {
        const auto entry = keys.lines.find(current);
        if (entry != keys.lines.end())
            return entry->second;
    }
    return 1;
}

int lineOfPath(std::string_view text, std::string_view path)
{
    return lineOfPath(scan(text, JsonLimits().depth).keys, path);
}

Locator locatorFor(std::string file, KeyLines keys)
{
    return [file = std::move(file), keys = std::move(keys)](const std::string& path) {
        return Location { file, lineOfPath(keys, path) };
    };
}

std::string childPath(std::string_view parent, std::string_view key)
{
    std::string path(parent);
    if (isPlainKey(key)) {
        if (!path.empty())
            path += '.';
        return path.append(key);
    }
    path += "[\"";
    for (const char c : key) {
        if (c == '"' || c == '\\')
            path += '\\';
        path += c;
    }
    return path + "\"]";
}

std::string elementPath(std::string_view parent, std::size_t index)
{
    return std::string(parent) + "[" + std::to_string(index) + "]";
}

std::string parentPath(std::string_view path)
{
    std::size_t lastStart = 0;
    bool isQuoted = false;
    for (std::size_t position = 0; position < path.size(); ++position) {
        if (isQuoted) {
            if (path[position] == '\\')
                ++position;
            else if (path[position] == '"')
                isQuoted = false;
        } else if (path[position] == '"') {
            isQuoted = true;
        } else if (path[position] == '.' || path[position] == '[') {
            lastStart = position;
        }
    }
    return std::string(path.substr(0, lastStart));
}

std::string jsonText(const QJsonValue& value, std::size_t bytes)
{
    // QJsonDocument writes only objects and arrays; the array brackets are removed.
    const QByteArray array = QJsonDocument(QJsonArray { value }).toJson(QJsonDocument::Compact);
    std::string text = array.mid(1, array.size() - 2).toStdString();
    if (text.size() <= bytes || bytes < 4)
        return text;
    std::size_t end = bytes - 3;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80)
        --end; // do not truncate inside a UTF-8 sequence
    return text.substr(0, end) + "...";
}

std::string textOf(const QJsonValue& value) { return value.toString().toStdString(); }

std::optional<QJsonObject> parseObject(const QByteArray& bytes)
{
    const QJsonDocument document = QJsonDocument::fromJson(bytes);
    if (!document.isObject())
        return std::nullopt;
    return document.object();
}

} // namespace lacewing::base
