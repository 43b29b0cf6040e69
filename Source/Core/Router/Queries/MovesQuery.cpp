#include "Router/Queries/MovesQuery.h"

#include "Router/MoveRecords.h"

#include <nlohmann/json.hpp>

namespace Pollenwind {

MovesQuery::MovesQuery(const MoveQueries& moves)
    : m_moves(moves)
{
}

Task<Outcome<std::string>> MovesQuery::run(const HttpRequest&)
{
    auto moves = nlohmann::json::array();
    for (const auto& it : m_moves.moves()) {
        moves.push_back(nlohmann::json::parse(encodeMoveRecord(it.record)));
        moves.back()["share"] = moveShareAt(it.record.step) / 1000.0;
    }
    co_return nlohmann::json { { "moves", moves } }.dump();
}

} // namespace Pollenwind
