#pragma once

#include <memory>
#include <type_traits>
#include <utility>

namespace Pollenwind {

/// A value of its own, or a reference to one elsewhere, which must then outlive this object and its copies. Copying a
/// reference does not copy the value.
template <typename T> class Borrowable {
public:
    Borrowable() = default;
    // Implicit, so that a field of this type is set like one of type T.
    Borrowable(T value) // NOLINT(google-explicit-constructor)
        : m_owned(std::make_unique<const T>(std::move(value)))
        , m_value(m_owned.get())
    {
    }
    Borrowable(const Borrowable& other)
        : m_owned(other.m_owned ? std::make_unique<const T>(*other.m_owned) : nullptr)
        , m_value(m_owned ? m_owned.get() : other.m_value)
    {
    }
    Borrowable(Borrowable&& other) noexcept
        : m_owned(std::move(other.m_owned))
        , m_value(std::exchange(other.m_value, &s_empty))
    {
    }
    Borrowable& operator=(const Borrowable& other)
    {
        if (this != &other) {
            *this = Borrowable(other);
        }
        return *this;
    }
    Borrowable& operator=(Borrowable&& other) noexcept
    {
        m_owned = std::move(other.m_owned);
        m_value = std::exchange(other.m_value, &s_empty);
        return *this;
    }
    ~Borrowable() = default;

    /// Refers to a value that outlives this object and its copies.
    void borrow(const T& value)
    {
        m_owned.reset();
        m_value = &value;
    }

    const T& get() const { return *m_value; }
    operator const T&() const { return *m_value; } // NOLINT(google-explicit-constructor)
    const T* operator->() const { return m_value; }
    /// Value of an id.
    decltype(auto) value() const
        requires requires(const T& it) { it.value(); }
    {
        return m_value->value();
    }

    friend bool operator==(const Borrowable& left, const Borrowable& right) { return left.get() == right.get(); }
    friend bool operator==(const Borrowable& left, const T& right) { return left.get() == right; }

private:
    inline static const T s_empty {};

    std::unique_ptr<const T> m_owned;
    const T* m_value = &s_empty;
};

} // namespace Pollenwind

// Lets algorithms compare the two types, each of which converts to the other.
template <typename T, template <typename> typename Left, template <typename> typename Right>
struct std::basic_common_reference<Pollenwind::Borrowable<T>, T, Left, Right> {
    using type = const T&;
};
template <typename T, template <typename> typename Left, template <typename> typename Right>
struct std::basic_common_reference<T, Pollenwind::Borrowable<T>, Left, Right> {
    using type = const T&;
};
