/**
 * Applies the operator's configuration as it changes in the store, and records
 * each proof that the applied one is still current.
 */

import {
  type ActiveConfiguration,
  applyConfiguration,
  recordProof,
  recordRestore,
  recordUnusable,
} from "@dandelionbank/track-configuration";
import type { Logger } from "@dandelionbank/log-events";
import {
  CONFIGURATION_NAME,
  decodeConfiguration,
  type StoredChange,
  type StoredItem,
} from "@dandelionbank/platform-adapter";
import { readInstant } from "@dandelionbank/read-instant";
import type { IngressConfiguration } from "@dandelionbank/types";
import type { KindEvent } from "@dandelionbank/watch-kind";

/** Bounds the length of a log line. */
const MAX_LOGGED_PROBLEMS = 8;

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
        this.#applyList(event.items);
        return;
      case "changed":
        this.#applyChange(event.change);
        return;
      case "proven":
        recordProof(this.#options.active, event.sentAt);
        return;
      case "lost":
      case "regained":
        return;
    }
  }

  #applyList(items: readonly StoredItem[]): void {
    const item = items.find(({ name }) => name === CONFIGURATION_NAME);
    if (item === undefined) recordUnusable(this.#options.active);
    else this.#apply(item);
  }

  #applyChange({ item, isDeleted }: StoredChange): void {
    if (item.name !== CONFIGURATION_NAME) return;
    if (isDeleted) recordUnusable(this.#options.active);
    else this.#apply(item);
  }

  #apply({ revision, spec }: StoredItem): void {
    const { active, logger, onApplied } = this.#options;
    const decoded = decodeConfiguration(spec);
    const problems = formatProblems(decoded.problems);
    if (decoded.kind === "malformed") {
      recordUnusable(active);
      const reason = `cannot read ${problems}`;
      logger.log("configurationRefused", { revision, reason });
      return;
    }
    const { configuration } = decoded;
    if (!applyConfiguration(active, { configuration, revision })) return;
    if (decoded.problems.length > 0) {
      const { version } = configuration;
      logger.log("configurationIncomplete", { version, revision, problems });
    }
    logger.log("configurationApplied", {
      version: configuration.version,
      revision,
      routes: configuration.routes.length,
    });
    onApplied(configuration);
  }
}

function formatProblems(problems: readonly string[]): string {
  const more = problems.length - MAX_LOGGED_PROBLEMS;
  const shown = problems.slice(0, MAX_LOGGED_PROBLEMS).join(", ");
  return more > 0 ? `${shown} and ${more} more` : shown;
}
