/**
 * What the store says of the group: the targets of the service, and how its
 * ranks share experts. Read once at the start, and followed only while this
 * agent coordinates, since calls to the store are counted.
 */

import type { Logger } from "@dandelionbank/log-events";
import {
  CONFIGURATION_NAME,
  decodeConfiguration,
  decodeTarget,
  KINDS,
  type StoreClient,
  type StoredItem,
} from "@dandelionbank/platform-adapter";
import type { ExpertProfile, RegisteredTarget } from "@dandelionbank/types";
import { type KindEvent, KindWatcher } from "@dandelionbank/watch-kind";

/** Ranks change seldom; a rank that is not known yet only delays a change. */
const WATCH_WAIT_MS = 10_000;

/** Whoever coordinates follows the store and so gets the newest. */
const STALE = { mayBeStale: true } as const;

export interface GroupViewOptions {
  readonly client: StoreClient;
  readonly service: string;
  readonly logger: Logger;
}

export class GroupView {
  readonly #options: GroupViewOptions;
  readonly #targets = new Map<string, RegisteredTarget>();
  #profile: ExpertProfile | undefined;
  #watchers: readonly KindWatcher[] = [];

  private constructor(options: GroupViewOptions) {
    this.#options = options;
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

  /** Reads what there is; false if the store did not answer. */
  async read(): Promise<boolean> {
    const { client } = this.#options;
    const [configuration, targets] = await Promise.all([
      client.read(KINDS.configuration, CONFIGURATION_NAME, STALE),
      client.list(KINDS.targets, STALE),
    ]);
    if (configuration.kind === "ok") {
      this.#takeConfiguration(configuration.value);
    }
    if (targets.kind === "ok") this.#takeTargets(targets.value.items);
    return configuration.kind === "ok" && targets.kind === "ok";
  }

  follow(): void {
    if (this.#watchers.length > 0) return;
    const { client, logger } = this.#options;
    const shared = { client, logger, waitMs: WATCH_WAIT_MS };
    this.#watchers = [
      KindWatcher.create({
        ...shared,
        kind: KINDS.targets,
        onEvent: (event) => this.#takeTargetEvent(event),
      }),
      KindWatcher.create({
        ...shared,
        kind: KINDS.configuration,
        onEvent: (event) => this.#takeConfigurationEvent(event),
      }),
    ];
  }

  unfollow(): void {
    for (const watcher of this.#watchers) watcher.stop();
    this.#watchers = [];
  }

  #takeTargetEvent(event: KindEvent): void {
    if (event.type === "listed") this.#takeTargets(event.items);
    if (event.type !== "changed") return;
    const { item, isDeleted } = event.change;
    const target = isDeleted ? undefined : decodeTarget(item);
    if (target?.service === this.#options.service) {
      this.#targets.set(target.id, target);
    } else {
      this.#targets.delete(item.name);
    }
  }

  #takeTargets(items: readonly StoredItem[]): void {
    this.#targets.clear();
    for (const item of items) {
      const target = decodeTarget(item);
      if (target?.service !== this.#options.service) continue;
      this.#targets.set(target.id, target);
    }
  }

  #takeConfigurationEvent(event: KindEvent): void {
    if (event.type === "listed") {
      event.items.forEach((item) => this.#takeConfiguration(item));
    }
    if (event.type === "changed") this.#takeConfiguration(event.change.item);
  }

  #takeConfiguration({ name, spec }: StoredItem): void {
    if (name !== CONFIGURATION_NAME) return;
    const configuration = decodeConfiguration(spec);
    const service = configuration?.services.get(this.#options.service);
    this.#profile = service?.engine?.experts ?? this.#profile;
  }
}
