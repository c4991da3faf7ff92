/**
 * Applies the operator's configuration as it changes in the store, and records
 * each proof that the applied one is still current.
 */

import {
  type ActiveConfiguration,
  applyConfiguration,
  recordProof,
  recordRestore,
} from "@dandelionbank/track-configuration";
import type { Logger } from "@dandelionbank/log-events";
import {
  CONFIGURATION_NAME,
  decodeConfiguration,
  type StoredItem,
} from "@dandelionbank/platform-adapter";
import { readInstant } from "@dandelionbank/read-instant";
import type { IngressConfiguration } from "@dandelionbank/types";
import type { KindEvent } from "@dandelionbank/watch-kind";

export interface ConfigurationViewOptions {
  readonly active: ActiveConfiguration;
  readonly logger: Logger;
  readonly onApplied: (configuration: IngressConfiguration) => void;
  /** Called when the store has come back from an older copy. */
  readonly onRestored: () => void;
}

export class ConfigurationView {
  readonly #options: ConfigurationViewOptions;

  private constructor(options: ConfigurationViewOptions) {
    this.#options = options;
  }

  static create(options: ConfigurationViewOptions): ConfigurationView {
    return new ConfigurationView(options);
  }

  handleEvent(event: KindEvent): void {
    switch (event.type) {
      case "listed":
        if (event.isRestored) {
          recordRestore(this.#options.active, readInstant());
          this.#options.onRestored();
        }
        for (const item of event.items) this.#apply(item);
        return;
      case "changed":
        if (!event.change.isDeleted) this.#apply(event.change.item);
        return;
      case "proven":
        recordProof(this.#options.active, event.sentAt);
        return;
      case "lost":
      case "regained":
        return;
    }
  }

  #apply({ name, revision, spec }: StoredItem): void {
    if (name !== CONFIGURATION_NAME) return;
    const { active, logger, onApplied } = this.#options;
    const configuration = decodeConfiguration(spec);
    if (configuration === undefined) {
      logger.log("configurationRefused", { revision, reason: "malformed" });
      return;
    }
    if (!applyConfiguration(active, { configuration, revision })) return;
    logger.log("configurationApplied", {
      version: configuration.version,
      revision,
      routes: configuration.routes.length,
    });
    onApplied(configuration);
  }
}
