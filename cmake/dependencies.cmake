# The Debian packages that the library stands on, as one interface target.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
pkg_check_modules(SIGCPP REQUIRED IMPORTED_TARGET sigc++-3.0)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(GLOG REQUIRED IMPORTED_TARGET libglog)
pkg_check_modules(SIMDJSON REQUIRED IMPORTED_TARGET simdjson)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(PROMETHEUS REQUIRED IMPORTED_TARGET prometheus-cpp-core)

find_library(HTTP_PARSER http_parser REQUIRED)

add_library(jujubestand_dependencies INTERFACE)
target_link_libraries(jujubestand_dependencies INTERFACE
    PkgConfig::SIGCPP PkgConfig::LIBEVENT PkgConfig::NGHTTP2 PkgConfig::GLOG
    PkgConfig::SIMDJSON PkgConfig::XXHASH PkgConfig::PROMETHEUS
    OpenSSL::Crypto http_parser)
target_compile_definitions(jujubestand_dependencies INTERFACE MSGPACK_NO_BOOST)
