// Text output: tables, colours, times and durations.
#include "ctl/output.h"

#include <QDateTime>
#include <algorithm>
#include <cstdio>

namespace lacewing::ctl {

namespace {

    const char* escapeSequence(Color color)
    {
        switch (color) {
        case Color::Red:
            return "\033[31m";
        case Color::Green:
            return "\033[32m";
        case Color::Yellow:
            return "\033[33m";
        case Color::Bold:
            return "\033[1m";
        case Color::Dim:
            return "\033[2m";
        case Color::None:
            break;
        }
        return "";
    }

    bool isUtf8Continuation(char c) { return (static_cast<unsigned char>(c) & 0xC0) == 0x80; }

    std::size_t characterCount(std::string_view text)
    {
        return text.size() - static_cast<std::size_t>(std::count_if(text.begin(), text.end(), isUtf8Continuation));
    }

    void appendCell(std::string& line, const std::string& text, Color color, std::size_t width, bool isRightAligned,
        bool isLast, bool hasColor)
    {
        const std::string padding(width - characterCount(text), ' ');
        if (isRightAligned)
            line += padding;
        line += colored(text, color, hasColor);
        if (!isRightAligned && !isLast)
            line += padding;
        if (!isLast)
            line += "  ";
    }

} // namespace

std::string colored(std::string_view text, Color color, bool isEnabled)
{
    if (!isEnabled || color == Color::None || text.empty())
        return std::string(text);
    return escapeSequence(color) + std::string(text) + "\033[0m";
}

std::string printable(std::string_view text)
{
    std::string safe;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const auto byte = static_cast<unsigned char>(text[at]);
        const bool isC1 = byte == 0xC2 && at + 1 < text.size() && static_cast<unsigned char>(text[at + 1]) < 0xA0;
        if (isC1)
            ++at;
        safe += byte < 0x20 || byte == 0x7F || isC1 ? '?' : text[at];
    }
    return safe;
}

std::string render(const Table& table, bool hasColor)
{
    std::vector<std::size_t> widths;
    for (const std::string& title : table.header)
        widths.push_back(characterCount(title));
    for (const auto& row : table.rows) {
        for (std::size_t column = 0; column < row.size() && column < widths.size(); ++column)
            widths[column] = std::max(widths[column], characterCount(printable(row[column].text)));
    }
    std::string text;
    const auto appendLine = [&](const auto& textOf, const auto& colorOf) {
        std::string line;
        for (std::size_t column = 0; column < widths.size(); ++column) {
            const bool isLast = column + 1 == widths.size();
            appendCell(line, textOf(column), colorOf(column), widths[column], table.rightAligned.contains(column),
                isLast, hasColor);
        }
        text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
    };
    appendLine([&](std::size_t column) { return table.header[column]; }, [](std::size_t) { return Color::Bold; });
    for (const auto& row : table.rows) {
        appendLine(
            [&](std::size_t column) { return column < row.size() ? printable(row[column].text) : std::string(); },
            [&](std::size_t column) { return column < row.size() ? row[column].color : Color::None; });
    }
    return text;
}

std::string timeText(std::int64_t msSinceEpoch)
{
    if (msSinceEpoch == 0)
        return "-";
    return QDateTime::fromMSecsSinceEpoch(msSinceEpoch, Qt::UTC).toString("yyyy-MM-dd HH:mm:ss'Z'").toStdString();
}

std::string durationText(std::int64_t milliseconds)
{
    const std::int64_t seconds = milliseconds / 1000;
    if (milliseconds < 1000)
        return std::to_string(milliseconds) + " ms";
    if (seconds < 60) {
        char buffer[32];
        std::snprintf(buffer, sizeof buffer, "%.1f s", static_cast<double>(milliseconds) / 1000.0);
        return buffer;
    }
    if (seconds < 3600)
        return std::to_string(seconds / 60) + " min " + std::to_string(seconds % 60) + " s";
    if (seconds < 86400)
        return std::to_string(seconds / 3600) + " h " + std::to_string(seconds % 3600 / 60) + " min";
    return std::to_string(seconds / 86400) + " d " + std::to_string(seconds % 86400 / 3600) + " h";
}

} // namespace lacewing::ctl
