/**
 * The group as described in the store: the targets of the service, and the
 * expert profile of its engines. Loaded once at the start, and watched only
 * while this agent coordinates, since each call to the store has a cost.
 */

import type { Logger } from "@dandelionbank/log-events";
import {
  CONFIGURATION_NAME,
  decodeConfiguration,
  KINDS,
  type StoreClient,
  type StoredItem,
} from "@dandelionbank/platform-adapter";
import type { ExpertProfile, RegisteredTarget } from "@dandelionbank/types";
import {
  type KindEvent,
  KindWatcher,
  RegistrationReader,
} from "@dandelionbank/watch-kind";

/** Ranks rarely change, and a rank not known yet only delays a map change. */
const WATCH_WAIT_MS = 10_000;

/**
 * A stale read is enough at the start: a coordinator watches the store for
 * changes.
 */
const ALLOW_STALE = { mayBeStale: true } as const;

export interface GroupViewOptions {
  readonly client: StoreClient;
  readonly service: string;
  readonly logger: Logger;
}

export class GroupView {
  readonly #options: GroupViewOptions;
  readonly #targets = new Map<string, RegisteredTarget>();
  readonly #registrations: RegistrationReader;
  #profile: ExpertProfile | undefined;
  #watchers: readonly KindWatcher[] = [];

  private constructor(options: GroupViewOptions) {
    this.#options = options;
    this.#registrations = RegistrationReader.create(options.logger);
  }

  static create(options: GroupViewOptions): GroupView {
    return new GroupView(options);
  }

  get profile(): ExpertProfile | undefined {
    return this.#profile;
  }

  get targets(): readonly RegisteredTarget[] {
    return [...this.#targets.values()];
  }

  /**
   * Loads targets and profile; returns false if the store did not answer both
   * calls.
   */
  async load(): Promise<boolean> {
    const { client } = this.#options;
    const [configuration, targets] = await Promise.all([
      client.read(KINDS.configuration, CONFIGURATION_NAME, ALLOW_STALE),
      client.list(KINDS.targets, ALLOW_STALE),
    ]);
    if (configuration.kind === "ok") {
      this.#applyConfiguration(configuration.value);
    }
    if (targets.kind === "ok") this.#replaceTargets(targets.value.items);
    return configuration.kind === "ok" && targets.kind === "ok";
  }

  startWatching(): void {
    if (this.#watchers.length > 0) return;
    const { client, logger } = this.#options;
    const commonOptions = { client, logger, waitMs: WATCH_WAIT_MS };
    this.#watchers = [
      KindWatcher.create({
        ...commonOptions,
        kind: KINDS.targets,
        onEvent: (event) => this.#handleTargetEvent(event),
      }),
      KindWatcher.create({
        ...commonOptions,
        kind: KINDS.configuration,
        onEvent: (event) => this.#handleConfigurationEvent(event),
      }),
    ];
  }

  stopWatching(): void {
    for (const watcher of this.#watchers) watcher.stop();
    this.#watchers = [];
  }

  #handleTargetEvent(event: KindEvent): void {
    if (event.type === "listed") this.#replaceTargets(event.items);
    if (event.type !== "changed") return;
    const { item, isDeleted } = event.change;
    if (isDeleted) this.#registrations.forget(item.name);
    const target = isDeleted ? undefined : this.#registrations.read(item);
    if (target?.service === this.#options.service) {
      this.#targets.set(target.id, target);
    } else {
      this.#targets.delete(item.name);
    }
  }

  #replaceTargets(items: readonly StoredItem[]): void {
    this.#targets.clear();
    for (const target of this.#registrations.readList(items)) {
      if (target.service !== this.#options.service) continue;
      this.#targets.set(target.id, target);
    }
  }

  #handleConfigurationEvent(event: KindEvent): void {
    if (event.type === "listed") {
      event.items.forEach((item) => this.#applyConfiguration(item));
    }
    if (event.type === "changed") this.#applyConfiguration(event.change.item);
  }

  #applyConfiguration({ name, spec }: StoredItem): void {
    if (name !== CONFIGURATION_NAME) return;
    const decoded = decodeConfiguration(spec);
    if (decoded.kind === "malformed") return;
    const { services } = decoded.configuration;
    const service = services.get(this.#options.service);
    this.#profile = service?.engine?.experts ?? this.#profile;
  }
}
