// Writer and reader over QCborMap. JSON is converted from and to the same map, so both codecs share all checks.
#include "codec/codec.h"

#include "codec/fields.h"
#include "codec/scan.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborParserError>
#include <QCborValue>
#include <QJsonDocument>
#include <QJsonObject>
#include <array>
#include <limits>
#include <type_traits>
#include <utility>

namespace lacewing::codec {

namespace {

    using Code = CodecError::Code;

    // In the order of the alternatives of Message.
    constexpr std::array<std::string_view, std::variant_size_v<Message>> typeNames { "heartbeat", "heartbeatReply",
        "digest", "digestReply", "configPush", "configPull", "configPullReply", "slotLoan", "slotLoanReply",
        "slotReturn", "goodbye", "transferOffer", "transferAccept", "ack", "refusal" };

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    QLatin1String latin1(std::string_view text) { return { text.data(), static_cast<qsizetype>(text.size()) }; }

    // --- Writer ---

    struct Writer {
        QCborMap map;

        template <typename T> void operator()(const char* name, const T& value)
        {
            map[QLatin1String(name)] = cbor(value);
        }

        template <typename T> void operator()(const char* name, const std::optional<T>& value)
        {
            if (value)
                map[QLatin1String(name)] = cbor(*value);
        }

        static QCborValue cbor(const std::string& value) { return toQString(value); }

        template <typename Tag> static QCborValue cbor(const base::Id<Tag>& value) { return toQString(value.value); }

        static QCborValue cbor(const std::map<std::string, std::string>& value)
        {
            QCborMap result;
            for (const auto& [key, text] : value)
                result[toQString(key)] = toQString(text);
            return result;
        }

        template <typename T> static QCborValue cbor(const std::vector<T>& value)
        {
            QCborArray result;
            for (const T& item : value)
                result.append(cbor(item));
            return result;
        }

        template <typename T> static QCborValue cbor(const T& value)
        {
            if constexpr (std::is_same_v<T, bool>) {
                return value;
            } else if constexpr (std::is_same_v<T, std::uint64_t>) {
                constexpr auto highest = static_cast<std::uint64_t>(std::numeric_limits<qint64>::max());
                return static_cast<qint64>(value > highest ? highest : value);
            } else if constexpr (std::is_integral_v<T>) {
                return static_cast<qint64>(value);
            } else {
                Writer writer;
                visitFields(writer, value);
                return writer.map;
            }
        }
    };

    // --- Reader ---

    struct Reader {
        const QCborMap& map;
        std::string path;
        std::optional<CodecError>& error;

        template <typename T> void operator()(const char* name, T& out)
        {
            if (error)
                return;
            const QCborValue value = map.value(QLatin1String(name));
            if (value.isUndefined()) {
                error = CodecError { Code::MissingField, path + name };
                return;
            }
            read(value, path + name, out);
        }

        template <typename T> void operator()(const char* name, std::optional<T>& out)
        {
            if (error)
                return;
            const QCborValue value = map.value(QLatin1String(name));
            if (!value.isUndefined())
                read(value, path + name, out.emplace());
        }

        void fail(Code code, const std::string& field, const char* reason)
        {
            if (!error)
                error = CodecError { code, field + ": " + reason };
        }

        void read(const QCborValue& value, const std::string& field, std::string& out)
        {
            if (!value.isString())
                return fail(Code::WrongType, field, "expected a string");
            const QByteArray text = value.toString().toUtf8();
            out.assign(text.constData(), static_cast<std::size_t>(text.size()));
        }

        template <typename Tag> void read(const QCborValue& value, const std::string& field, base::Id<Tag>& out)
        {
            read(value, field, out.value);
        }

        void read(const QCborValue& value, const std::string& field, std::map<std::string, std::string>& out)
        {
            if (!value.isMap())
                return fail(Code::WrongType, field, "expected a map");
            const QCborMap entries = value.toMap();
            for (auto entry = entries.begin(); entry != entries.end() && !error; ++entry) {
                std::string key;
                std::string text;
                read(entry.key(), field, key);
                read(entry.value(), field, text);
                if (!error && !out.emplace(std::move(key), std::move(text)).second)
                    fail(Code::Malformed, field, "repeated key");
            }
        }

        template <typename T> void read(const QCborValue& value, const std::string& field, std::vector<T>& out)
        {
            if (!value.isArray())
                return fail(Code::WrongType, field, "expected an array");
            const QCborArray items = value.toArray();
            out.reserve(static_cast<std::size_t>(items.size()));
            for (qsizetype index = 0; index < items.size() && !error; ++index)
                read(items.at(index), field + "[" + std::to_string(index) + "]", out.emplace_back());
        }

        template <typename T> void read(const QCborValue& value, const std::string& field, T& out)
        {
            if constexpr (std::is_same_v<T, bool>) {
                if (!value.isBool())
                    return fail(Code::WrongType, field, "expected a boolean");
                out = value.toBool();
            } else if constexpr (std::is_integral_v<T>) {
                if (!value.isInteger())
                    return fail(Code::WrongType, field, "expected an integer");
                const qint64 number = value.toInteger();
                if (!std::in_range<T>(number))
                    return fail(Code::OutOfRange, field, "integer out of range");
                out = static_cast<T>(number);
            } else {
                if (!value.isMap())
                    return fail(Code::WrongType, field, "expected a map");
                const QCborMap inner = value.toMap();
                Reader reader { inner, field + ".", error };
                visitFields(reader, out);
            }
        }
    };

    template <std::size_t index>
    void readAlternative(const QCborMap& map, Message& out, std::optional<CodecError>& error)
    {
        Reader reader { map, {}, error };
        visitFields(reader, out.emplace<index>());
    }

    using ReadFunction = void (*)(const QCborMap&, Message&, std::optional<CodecError>&);

    template <std::size_t... indexes> constexpr auto makeReadTable(std::index_sequence<indexes...>)
    {
        return std::array<ReadFunction, sizeof...(indexes)> { &readAlternative<indexes>... };
    }

    base::Result<QCborMap, CodecError> parseCbor(const QByteArray& bytes, const CodecLimits& limits)
    {
        if (auto violation = scanCbor(bytes, limits))
            return *violation;
        QCborParserError parserError;
        const QCborValue value = QCborValue::fromCbor(bytes, &parserError);
        if (parserError.error != QCborError::NoError)
            return CodecError { Code::Malformed, parserError.errorString().toStdString() };
        if (!value.isMap())
            return CodecError { Code::WrongType, "expected a map" };
        return value.toMap();
    }

    base::Result<QCborMap, CodecError> parseJson(const QByteArray& bytes, const CodecLimits& limits)
    {
        if (auto violation = scanJson(bytes, limits))
            return *violation;
        QJsonParseError parserError;
        const QJsonDocument document = QJsonDocument::fromJson(bytes, &parserError);
        if (parserError.error != QJsonParseError::NoError)
            return CodecError { Code::Malformed, parserError.errorString().toStdString() };
        if (!document.isObject())
            return CodecError { Code::WrongType, "expected an object" };
        return QCborMap::fromJsonObject(document.object());
    }

} // namespace

std::string_view typeName(const Message& message) { return typeNames[message.index()]; }

QByteArray encode(const Message& message, Codec codec)
{
    Writer writer;
    writer.map[QLatin1String("type")] = latin1(typeName(message));
    std::visit([&writer](const auto& content) { visitFields(writer, content); }, message);
    if (codec == Codec::Json)
        return QJsonDocument(writer.map.toJsonObject()).toJson(QJsonDocument::Compact);
    return QCborValue(writer.map).toCbor();
}

base::Result<Message, CodecError> decode(const QByteArray& bytes, Codec codec, const CodecLimits& limits)
{
    static constexpr auto readTable = makeReadTable(std::make_index_sequence<std::variant_size_v<Message>>());
    if (static_cast<std::size_t>(bytes.size()) > limits.maxBytes)
        return CodecError { Code::TooLarge, "more than " + std::to_string(limits.maxBytes) + " bytes" };
    auto parsed = codec == Codec::Json ? parseJson(bytes, limits) : parseCbor(bytes, limits);
    if (!parsed)
        return std::move(parsed).error();
    const QCborMap map = std::move(parsed).value();
    const QCborValue type = map.value(QLatin1String("type"));
    if (!type.isString())
        return CodecError { type.isUndefined() ? Code::MissingField : Code::WrongType, "type" };
    const std::string name = type.toString().toStdString();
    for (std::size_t index = 0; index < typeNames.size(); ++index) {
        if (typeNames[index] != name)
            continue;
        Message message;
        std::optional<CodecError> error;
        readTable[index](map, message, error);
        if (error)
            return *std::move(error);
        return message;
    }
    return CodecError { Code::UnknownType, "no message of this type" };
}

} // namespace lacewing::codec
