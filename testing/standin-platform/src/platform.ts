/** Stand-in for the platform: routes and counts calls and limits their rate. */

import {
  type Call,
  parseJson,
  RateLimiter,
  refuseRateLimited,
  type Reply,
  type RunningStandin,
  StandinServer,
} from "@dandelionbank/standin-common";
import type { StoredObject, VmListing } from "@dandelionbank/types";
import { handleRead, handleWrite } from "./object_routes.ts";
import { type ObjectId, ObjectTable } from "./object_table.ts";
import { PLATFORM_SETTINGS, type PlatformSettings } from "./settings.ts";
import { VmList } from "./vm_list.ts";
import { Watchers } from "./watchers.ts";

export interface PlatformOptions {
  readonly listen?: string;
  readonly settings?: Partial<PlatformSettings>;
}

export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly vmLists: number;
  readonly refused: number;
}

/** Starts the stand-in in the current process. */
export async function startPlatform(
  options: PlatformOptions = {},
): Promise<StandinPlatform> {
  const platform = new StandinPlatform();
  await platform.start(options);
  return platform;
}

export class StandinPlatform implements RunningStandin {
  readonly #vms = VmList.create();
  readonly #watchers = Watchers.create();
  readonly objects = ObjectTable.create((change) =>
    this.#watchers.publish(change)
  );
  readonly #writeLimiter = RateLimiter.create();
  readonly #readLimiter = RateLimiter.create();
  #server!: StandinServer<PlatformSettings>;
  #bookmarkTimer: NodeJS.Timeout | undefined;
  #staleObjects: ObjectTable | undefined;
  #counts = { reads: 0, writes: 0, watches: 0, vmLists: 0, refused: 0 };

  async start(options: PlatformOptions): Promise<void> {
    this.#server = await StandinServer.start({
      ...(options.listen === undefined ? {} : { listen: options.listen }),
      settings: { ...PLATFORM_SETTINGS, ...options.settings },
      handle: (call, reply) => this.#handle(call, reply),
      handleAdmin: (call, reply) => this.#handleAdmin(call, reply),
      onSettings: (settings) => this.#applySettings(settings),
    });
    this.#applySettings(this.#server.settings);
  }

  get listening(): string {
    return this.#server.url;
  }

  get counts(): CallCounts {
    return { ...this.#counts };
  }

  changeSettings(settings: Partial<PlatformSettings>): void {
    this.#server.changeSettings(settings);
  }

  setVms(vms: readonly VmListing[]): void {
    this.#vms.update(vms, performance.now());
  }

  /** Closes all watches, as a restart of the platform's front end would. */
  cutWatches(): void {
    this.#watchers.cutAll();
  }

  /** Writes an object directly, without a call or a condition. */
  seed(id: ObjectId, value: unknown): StoredObject {
    const changeId = `seed-${this.objects.revision + 1}`;
    return this.objects.put({ ...id, changeId, value });
  }

  async close(): Promise<void> {
    clearInterval(this.#bookmarkTimer);
    this.#watchers.cutAll();
    await this.#server.close();
  }

  #applySettings(settings: PlatformSettings): void {
    if (settings.outage) this.#watchers.cutAll();
    if (!settings.staleReads) this.#staleObjects = undefined;
    else this.#staleObjects ??= this.objects.createSnapshot();
    clearInterval(this.#bookmarkTimer);
    this.#bookmarkTimer = setInterval(
      () => this.#watchers.sendBookmarks(this.objects.revision),
      settings.bookmarkIntervalMs,
    );
  }

  #handleAdmin(call: Call, reply: Reply): boolean {
    if (call.path === "/calls") reply.sendJson(200, this.#counts);
    else if (call.path === "/vms" && call.method === "POST") {
      const { vms } = parseJson(call) as { vms: VmListing[] };
      this.setVms(vms);
      reply.sendJson(200, { vms });
    } else return false;
    return true;
  }

  #handle(call: Call, reply: Reply): void | Promise<void> {
    const isWrite = call.method === "PUT" || call.method === "DELETE";
    if (!this.#tryAdmit(isWrite)) {
      this.#counts.refused += 1;
      return refuseRateLimited(reply);
    }
    const { objects } = this;
    if (isWrite) {
      this.#counts.writes += 1;
      return handleWrite({ objects, call, reply }, this.#server.settings);
    }
    if (call.path === "/v1/vms") return this.#listVms(reply);
    if (call.path === "/v1/watch") return this.#watch(call, reply);
    this.#counts.reads += 1;
    handleRead({ objects: this.#staleObjects ?? objects, call, reply });
  }

  #tryAdmit(isWrite: boolean): boolean {
    const { writesPerSecond, readsPerSecond } = this.#server.settings;
    const limiter = isWrite ? this.#writeLimiter : this.#readLimiter;
    const rate = isWrite ? writesPerSecond : readsPerSecond;
    return limiter.tryAcquire(rate, performance.now());
  }

  #listVms(reply: Reply): void {
    this.#counts.vmLists += 1;
    const { lagMs } = this.#server.settings;
    reply.sendJson(200, {
      vms: this.#vms.listVisible(lagMs, performance.now()),
    });
  }

  #watch(call: Call, reply: Reply): void {
    this.#counts.watches += 1;
    const { historyLimit } = this.#server.settings;
    const since = Number(call.query.get("since"));
    const missedChanges = this.objects.listChangesSince(since, historyLimit);
    if (missedChanges === undefined) {
      return reply.sendJson(410, { message: "Revision is compacted" });
    }
    this.#watchers.add(
      { reply, kinds: call.query.getAll("kind") },
      missedChanges,
    );
  }
}
