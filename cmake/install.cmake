include(GNUInstallDirs)
include(CMakePackageConfigHelpers)
install(TARGETS jujubestand jujubestand_dependencies EXPORT jujubestand)
install(DIRECTORY jujubestand DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
    FILES_MATCHING PATTERN "*.hpp" PATTERN "test" EXCLUDE)
install(EXPORT jujubestand NAMESPACE jujubestand::
    FILE jujubestand-targets.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/jujubestand)
configure_package_config_file(cmake/jujubestand-config.cmake.in
    ${PROJECT_BINARY_DIR}/jujubestand-config.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/jujubestand)
write_basic_package_version_file(
    ${PROJECT_BINARY_DIR}/jujubestand-config-version.cmake
    COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/jujubestand-config.cmake
    ${PROJECT_BINARY_DIR}/jujubestand-config-version.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/jujubestand)
