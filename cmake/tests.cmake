# One test program per slice: jujubestand/SLICE/test/*.cpp -> test_SLICE.
find_package(GTest REQUIRED)
file(GLOB slices RELATIVE ${PROJECT_SOURCE_DIR}/jujubestand CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/jujubestand/*)
set(test_folders "")
foreach(slice ${slices})
    list(APPEND test_folders jujubestand/${slice})
endforeach()
list(APPEND test_folders standins programs bench platform)
# Tests of the programs start these among stand-ins.
add_library(programs_support INTERFACE)
target_link_libraries(programs_support INTERFACE bench_support)
set(programs_programs jujubestand_node clock_step)
# Preloaded into a process, so that no sanitizer may be in it.
add_library(clock_step MODULE
    ${PROJECT_SOURCE_DIR}/programs/test/preload/clock_step.cpp)
target_compile_options(clock_step PRIVATE -fno-sanitize=all)
target_link_options(clock_step PRIVATE -fno-sanitize=all)
target_compile_definitions(programs_support INTERFACE
    JUJUBESTAND_CLOCK_STEP="$<TARGET_FILE:clock_step>")
foreach(folder ${test_folders})
    file(GLOB test_sources CONFIGURE_DEPENDS
        ${PROJECT_SOURCE_DIR}/${folder}/test/*.cpp)
    if(NOT test_sources)
        continue()
    endif()
    get_filename_component(slice ${folder} NAME)
    # The adapter at the root has a slice's name.
    if(folder STREQUAL "platform")
        set(slice adapter)
    endif()
    add_executable(test_${slice} ${test_sources})
    target_link_libraries(test_${slice} PRIVATE jujubestand rapidcheck
        GTest::gmock GTest::gtest GTest::gtest_main)
    if(TARGET ${slice}_support)
        target_link_libraries(test_${slice} PRIVATE ${slice}_support)
        add_dependencies(test_${slice} ${${slice}_programs})
    endif()
    target_compile_definitions(test_${slice} PRIVATE
        JUJUBESTAND_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
        JUJUBESTAND_BINARY_DIR="${PROJECT_BINARY_DIR}")
    # Tests of whole programs take minutes: parts of them run side by side.
    set(shards 1)
    if(slice STREQUAL "programs")
        set(shards 4)
    endif()
    math(EXPR last_shard "${shards} - 1")
    foreach(shard RANGE ${last_shard})
        set(test_name ${slice})
        if(shards GREATER 1)
            set(test_name ${slice}_${shard})
        endif()
        add_test(NAME ${test_name} COMMAND test_${slice})
        set(test_environment "RC_PARAMS=seed=20261203" "GLOG_logtostderr=1"
            "GLOG_minloglevel=2" "GTEST_TOTAL_SHARDS=${shards}"
            "GTEST_SHARD_INDEX=${shard}")
        set_tests_properties(${test_name} PROPERTIES TIMEOUT 300
            ENVIRONMENT "${test_environment}")
    endforeach()
endforeach()

# Misbehaving clients of whole processes: memory is measured, so that one such
# test runs at a time and apart from all others.
file(GLOB client_test_sources CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/programs/test_clients/*.cpp)
add_executable(test_clients ${client_test_sources})
target_link_libraries(test_clients PRIVATE jujubestand programs_support
    GTest::gmock GTest::gtest GTest::gtest_main)
add_dependencies(test_clients jujubestand_node jujubestandd
    ${standins_programs})
target_compile_definitions(test_clients PRIVATE
    JUJUBESTAND_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
    JUJUBESTAND_BINARY_DIR="${PROJECT_BINARY_DIR}")
set(client_shards 4)
math(EXPR last_client_shard "${client_shards} - 1")
foreach(shard RANGE ${last_client_shard})
    add_test(NAME clients_${shard} COMMAND test_clients)
    set_tests_properties(clients_${shard} PROPERTIES TIMEOUT 300
        RUN_SERIAL ON ENVIRONMENT
        "GLOG_logtostderr=1;GLOG_minloglevel=2;GTEST_TOTAL_SHARDS=${client_shards};GTEST_SHARD_INDEX=${shard}")
endforeach()

# GCC 12 takes memory of std::regex for uninitialized where the address
# sanitizer checks optimized code; the plain build has the warning.
if(JUJUBESTAND_SANITIZE)
    set_source_files_properties(
        ${PROJECT_SOURCE_DIR}/jujubestand/gateway/test/operations_test.cpp
        PROPERTIES COMPILE_OPTIONS -Wno-maybe-uninitialized)
endif()

# Each public header compiles on its own; once is enough.
if(NOT JUJUBESTAND_SANITIZE)
    file(GLOB public_headers RELATIVE ${PROJECT_SOURCE_DIR} CONFIGURE_DEPENDS
        ${PROJECT_SOURCE_DIR}/jujubestand/*/*.hpp
        ${PROJECT_SOURCE_DIR}/jujubestand/*.hpp
        ${PROJECT_SOURCE_DIR}/platform/*.hpp)
    set(header_sources "")
    foreach(header ${public_headers})
        string(REPLACE "/" "_" name ${header})
        set(source ${PROJECT_BINARY_DIR}/headers/${name}.cpp)
        file(CONFIGURE OUTPUT ${source} CONTENT "#include <${header}>\n")
        list(APPEND header_sources ${source})
    endforeach()
    add_library(headers_alone OBJECT ${header_sources})
    target_link_libraries(headers_alone PRIVATE jujubestand)

    # An embedder finds the installed library and builds the examples.
    add_test(NAME install COMMAND ${PROJECT_SOURCE_DIR}/cmake/test_install
        ${PROJECT_SOURCE_DIR} ${PROJECT_BINARY_DIR})
    set_tests_properties(install PROPERTIES TIMEOUT 300)
endif()
