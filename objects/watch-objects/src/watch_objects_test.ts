import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { PlatformClient } from "@dandelionbank/call-platform";
import { createViewState, stepView } from "@dandelionbank/fold-view";
import {
  type StandinPlatform,
  startPlatform,
} from "@dandelionbank/standin-platform";
import type { View } from "@dandelionbank/types";
import { watchObjects } from "./mod.ts";

const STOP = { kind: "stop", name: "engine-1" } as const;
const OTHER = { kind: "stop", name: "engine-2" } as const;

/** A platform with one object, and a view kept by a watch of it. */
class WatchedPlatform {
  readonly platform: StandinPlatform;
  readonly events: string[] = [];
  view: View | undefined;
  #waiters: { readonly isMet: () => boolean; readonly resolve: () => void }[] =
    [];

  static async start(context: TestContext): Promise<WatchedPlatform> {
    const platform = await startPlatform({
      settings: { bookmarkIntervalMs: 20, historyLimit: 3 },
    });
    platform.seed(STOP, "first");
    const watched = new WatchedPlatform(platform);
    watched.#watch(context);
    await watched.untilEvent("bookmark");
    return watched;
  }

  private constructor(platform: StandinPlatform) {
    this.platform = platform;
  }

  /** Resolves at the first event after which the condition is met. */
  until(isMet: () => boolean): Promise<void> {
    if (isMet()) return Promise.resolve();
    return new Promise((resolve) => this.#waiters.push({ isMet, resolve }));
  }

  async untilEvent(type: string): Promise<void> {
    const before = this.events.length;
    await this.until(() => this.events.slice(before).includes(type));
  }

  #watch(context: TestContext): void {
    const client = PlatformClient.create({
      platformUrl: this.platform.listening,
      timeoutMs: 5000,
      logger: { log: () => {} },
    });
    let state = createViewState(({ value }) => ({ kind: "ok", value }));
    const stream = watchObjects({
      client,
      random: () => 0,
      idleTimeoutMs: 500,
    });
    const subscription = stream.subscribe({
      next: (event) => {
        state = stepView(state, event).state;
        this.view = state.view;
        this.events.push(event.type);
        this.#waiters = this.#waiters.filter(({ isMet, resolve }) => {
          if (isMet()) resolve();
          return !isMet();
        });
      },
      error: (error) => assert.fail(error),
      complete: () => {},
    });
    context.after(async () => {
      subscription.unsubscribe();
      await client.close();
      await this.platform.close();
    });
  }
}

/** Makes more changes than the platform retains. */
function seedMany(
  platform: StandinPlatform,
  id: typeof OTHER | typeof STOP = OTHER,
): void {
  for (let count = 0; count < 5; count++) platform.seed(id, count);
}

const CASES: readonly {
  readonly name: string;
  readonly injectFault: (watched: WatchedPlatform) => Promise<void> | void;
  readonly expectedLists: number;
}[] = [
  { name: "nothing", injectFault: () => {}, expectedLists: 1 },
  {
    name: "a closed connection",
    injectFault: async (watched) => {
      watched.platform.cutWatches();
      await watched.untilEvent("unreachable");
    },
    expectedLists: 1,
  },
  {
    name: "an outage with a few changes",
    injectFault: async (watched) => {
      watched.platform.changeSettings({ outage: true });
      await watched.untilEvent("unreachable");
      watched.platform.seed(OTHER, "during the outage");
      watched.platform.changeSettings({ outage: false });
    },
    expectedLists: 1,
  },
  {
    name: "an outage with more changes than the platform retains",
    injectFault: async (watched) => {
      watched.platform.changeSettings({ outage: true });
      await watched.untilEvent("unreachable");
      seedMany(watched.platform);
      watched.platform.changeSettings({ outage: false });
    },
    expectedLists: 2,
  },
  {
    name: "an object deleted and recreated among changes it missed",
    injectFault: async (watched) => {
      const { platform } = watched;
      platform.changeSettings({ outage: true });
      await watched.untilEvent("unreachable");
      platform.objects.delete(platform.seed(STOP, "before"));
      seedMany(platform, STOP);
      platform.changeSettings({ outage: false });
    },
    expectedLists: 2,
  },
  {
    name: "a platform that does not answer",
    injectFault: async (watched) => {
      watched.platform.changeSettings({ silent: true });
      await watched.untilEvent("unreachable");
      watched.platform.seed(OTHER, "unseen");
      watched.platform.changeSettings({ silent: false });
    },
    expectedLists: 1,
  },
  {
    name: "a watch whose connection alone stops delivering",
    injectFault: async (watched) => {
      watched.platform.changeSettings({ freezeConnections: true });
      watched.platform.seed(OTHER, "unseen");
      await watched.untilEvent("unreachable");
    },
    expectedLists: 1,
  },
  {
    name: "a rate-limited watch",
    injectFault: async (watched) => {
      watched.platform.changeSettings({ readsPerSecond: 0.5 });
      watched.platform.cutWatches();
      await watched.untilEvent("unreachable");
      await watched.untilEvent("unreachable");
      watched.platform.changeSettings({ readsPerSecond: 0 });
    },
    expectedLists: 1,
  },
  {
    name: "stale lists after missed changes",
    injectFault: async (watched) => {
      const { platform } = watched;
      platform.changeSettings({ staleReads: true });
      seedMany(platform);
      await watched.until(() => watched.view?.revision === 6);
      platform.changeSettings({ outage: true });
      await watched.untilEvent("unreachable");
      seedMany(platform);
      platform.changeSettings({ outage: false });
      await watched.untilEvent("unreachable");
      await watched.untilEvent("unreachable");
      assert.equal(watched.view?.revision, 6);
      platform.changeSettings({ staleReads: false });
    },
    expectedLists: 4,
  },
];

for (const { name, injectFault, expectedLists } of CASES) {
  test(`After ${name} the view matches the platform`, async (context) => {
    const watched = await WatchedPlatform.start(context);
    const { platform } = watched;
    await injectFault(watched);
    const last = platform.seed(STOP, "last");
    await watched.until(() => watched.view?.revision === last.revision);

    const stops = [...watched.view?.stops.values() ?? []];
    const byName = (a: { name: string }, b: { name: string }) =>
      a.name.localeCompare(b.name);
    assert.deepEqual(
      stops.sort(byName),
      [...platform.objects.list().items].sort(byName),
    );
    assert.equal(platform.counts.reads, expectedLists);
  });
}

test("Disposing of a watch ends its calls and timers", async (context) => {
  const platform = await startPlatform();
  context.after(() => platform.close());
  const client = PlatformClient.create({
    platformUrl: platform.listening,
    timeoutMs: 5000,
    logger: { log: () => {} },
  });
  const events: string[] = [];
  const subscription = watchObjects({ client, random: () => 0 }).subscribe({
    next: (event) => {
      events.push(event.type);
      subscription.unsubscribe();
    },
    error: (error) => assert.fail(error),
    complete: () => {},
  });
  while (events.length === 0) await new Promise(setImmediate);
  platform.seed(STOP, "unseen");
  await client.list();
  assert.deepEqual(events, ["listed"]);
  await client.close();
});
