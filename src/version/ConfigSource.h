// Where the daemon takes the configuration in force from.

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

  /// Emitted after each change, with an epoch higher than the one before.
  sigc::signal<void(ConfigurationPtr)> Changed;
};

/// A configuration that its owner sets.
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
