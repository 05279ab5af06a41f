// Combines several lambdas into one visitor for std::visit.
#pragma once

namespace berylridge {

template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace berylridge
