// The interface that provides the configuration in force to a daemon.
//
//   Source.Changed.connect([&](ConfigurationPtr Next) { ... });
//
// Guarantees: Changed is emitted after current() returns the new configuration.

#ifndef GALENAROUTE_VERSION_CONFIGSOURCE_H
#define GALENAROUTE_VERSION_CONFIGSOURCE_H

#include "version/Configuration.h"

#include <sigc++/sigc++.h>

namespace galenaroute {

class ConfigSource {
public:
  virtual ~ConfigSource() = default;

  /// Returns the configuration in force, or null before the first one.
  virtual ConfigurationPtr current() const = 0;

  /// Emitted after each change, with a higher epoch each time.
  sigc::signal<void(ConfigurationPtr)> Changed;
};

/// A source whose configuration is set by its owner.
class FixedConfig : public ConfigSource {
public:
  ConfigurationPtr current() const override { return this->Current; }
  void set(ConfigurationPtr Next) {
    this->Current = std::move(Next);
    this->Changed.emit(this->Current);
  }

private:
  ConfigurationPtr Current;
};

} // namespace galenaroute

#endif // GALENAROUTE_VERSION_CONFIGSOURCE_H
