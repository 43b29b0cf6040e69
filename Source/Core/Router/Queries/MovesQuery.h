#pragma once

#include "Http/AdminFrontEnd.h"
#include "Moves/Queries/MoveQueries.h"

namespace Pollenwind {

/// Latest move of each service.
class MovesQuery final : public AdminQuery {
public:
    explicit MovesQuery(const MoveQueries& moves);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    const MoveQueries& m_moves;
};

} // namespace Pollenwind
