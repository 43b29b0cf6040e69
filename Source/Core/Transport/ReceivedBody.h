#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <string>

namespace Pollenwind::detail {

/// Body type of messages that are parsed. Unlike http::string_body it takes up memory only for bytes that have arrived,
/// not for the length that the sender announces.
struct ReceivedBody {
    using value_type = std::string;

    class Reader {
    public:
        template <bool isRequest, typename Fields>
        Reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        /// Ignores the announced length. Each reader of a body has a limit of its own.
        static void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& ec) { ec = {}; }

        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::beast::error_code& ec)
        {
            ec = {};
            std::size_t n = 0;
            for (const auto buf : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char*>(buf.data()), buf.size());
                n += buf.size();
            }
            return n;
        }

        static void finish(boost::beast::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };

    /// Name that the library looks for.
    using reader = Reader;
};

} // namespace Pollenwind::detail
