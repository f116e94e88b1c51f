# Installs the headers, the JSON schemas and the CMake package configuration.
include(CMakePackageConfigHelpers)
install(DIRECTORY ${CMAKE_SOURCE_DIR}/src/include/lavenderarch DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(DIRECTORY ${CMAKE_SOURCE_DIR}/share/schemas DESTINATION ${CMAKE_INSTALL_DATADIR}/lavenderarch)
install(TARGETS lavender_options EXPORT lavenderarchTargets)
install(EXPORT lavenderarchTargets NAMESPACE lavenderarch::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/lavenderarch)
configure_package_config_file(${CMAKE_SOURCE_DIR}/src/cmake/lavenderarchConfig.cmake.in
  ${CMAKE_BINARY_DIR}/lavenderarchConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/lavenderarch)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/lavenderarchConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/lavenderarchConfig.cmake
  ${CMAKE_BINARY_DIR}/lavenderarchConfigVersion.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/lavenderarch)
