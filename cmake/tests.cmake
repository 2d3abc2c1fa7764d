# One test program per slice: jujubestand/SLICE/test/*.cpp -> test_SLICE.
find_package(GTest REQUIRED)
file(GLOB slices RELATIVE ${PROJECT_SOURCE_DIR}/jujubestand CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/jujubestand/*)
set(test_folders "")
foreach(slice ${slices})
    list(APPEND test_folders jujubestand/${slice})
endforeach()
list(APPEND test_folders standins programs bench)
foreach(folder ${test_folders})
    file(GLOB test_sources CONFIGURE_DEPENDS
        ${PROJECT_SOURCE_DIR}/${folder}/test/*.cpp)
    if(NOT test_sources)
        continue()
    endif()
    get_filename_component(slice ${folder} NAME)
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
    add_test(NAME ${slice} COMMAND test_${slice})
    set_tests_properties(${slice} PROPERTIES TIMEOUT 300 ENVIRONMENT
        "RC_PARAMS=seed=20261203;GLOG_logtostderr=1;GLOG_minloglevel=2")
endforeach()
