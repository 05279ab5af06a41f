# Shared by the scripts of this folder: paths, installing the declared packages, building.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BERYLRIDGE_BUILD:-$root/build}
jobs=${BERYLRIDGE_JOBS:-$(nproc)}

# Installs the missing packages of .ci/packages. Needs root only if one is missing.
install_packages() {
    local missing=() package
    for package in $(cat "$root/.ci/packages"); do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
            || missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return 0
    local sudo=""
    [ "$(id -u)" -eq 0 ] || sudo=sudo
    $sudo apt-get update -qq
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}"
}

configure() {
    cmake -S "$root" -B "$build" -G Ninja "$@" >/dev/null
}

build_all() {
    configure "$@"
    cmake --build "$build" -j "$jobs"
}
