// Text output: aligned tables, colour on terminals, and removal of control characters from untrusted text.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::ctl {

enum class Color { None, Red, Green, Yellow, Bold, Dim };

// `text` in the colour, or unchanged when `isEnabled` is false.
std::string colored(std::string_view text, Color color, bool isEnabled);

struct Cell {
    std::string text;
    Color color = Color::None;

    Cell(std::string value = {}, Color cellColor = Color::None) // NOLINT(google-explicit-constructor)
        : text(std::move(value))
        , color(cellColor)
    {
    }
};

struct Table {
    std::vector<std::string> header;
    std::vector<std::vector<Cell>> rows;
    std::set<std::size_t> rightAligned; // indexes of the columns with numbers
};

// Formats a table as text. Columns are separated by two spaces and as wide as their widest cell, in code points.
// Control characters in cells are replaced. Lines have no trailing spaces.
std::string render(const Table& table, bool hasColor);

// Replaces control characters by `?`, so that text from elsewhere, such as another operator's comment, cannot move the
// cursor or change colours.
std::string printable(std::string_view text);

// `2026-12-04 07:00:00Z`; `-` for 0.
std::string timeText(std::int64_t msSinceEpoch);

// `850 ms`, `12.5 s`, `3 min 5 s`, `2 h 10 min`, `3 d 4 h`.
std::string durationText(std::int64_t milliseconds);

} // namespace lacewing::ctl
