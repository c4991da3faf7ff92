import { Registry } from "@dandelionbank/metrics";
import { decodeCallerHead, HEADERS } from "@dandelionbank/platform-adapter";
import type { Route } from "@dandelionbank/types";
import { CrashMetrics, CrashMonitor } from "@dandelionbank/watch-suspects";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { CrashGuard } from "./crash_guard.ts";
import type { RoutedRequest } from "./routed_request.ts";

const TARGET = "t@1";
const BROKEN = { outcome: "broken", errorCode: "ECONNRESET" } as const;
const REFUSED = { outcome: "notSent", errorCode: "ECONNREFUSED" } as const;

test("A request whose answer broke off at its beginning is lost with its prompt parts", (t) => {
  const fixture = GuardFixture.create(t);
  fixture.writePieces(5);
  fixture.crashTarget();
  assert.deepEqual(fixture.lostParts, ["a1", "b2"]);
});

test("A request whose answer was written for a while speaks for its prompt parts", (t) => {
  const fixture = GuardFixture.create(t);
  fixture.writePieces(6);
  fixture.crashTarget();
  assert.deepEqual(fixture.lostParts, []);
  const { prompts } = fixture.monitor.pendingReport;
  assert.equal(prompts.survivedPrompts, 1);
});

test("Pieces of an earlier attempt say nothing about a later one", (t) => {
  const fixture = GuardFixture.create(t);
  fixture.writePieces(6);
  fixture.guard.recordAttempt();
  fixture.crashTarget();
  assert.deepEqual(fixture.lostParts, ["a1", "b2"]);
});

test("A request that is sent on between targets that fail together is lost once", (t) => {
  const fixture = GuardFixture.create(t);
  fixture.crashTarget("a@1");
  fixture.advance(100);
  fixture.crashTarget("b@1");
  const { suspects } = fixture.monitor.pendingReport;
  assert.deepEqual(suspects.losses.map(({ target }) => target), ["a@1"]);
  fixture.advance(300);
  fixture.crashTarget("c@1");
  assert.equal(fixture.monitor.pendingReport.suspects.losses.length, 2);
});

/** A guard of a request, with a clock that the test moves. */
class GuardFixture {
  #nowMs = 0;
  readonly monitor: CrashMonitor;
  readonly guard: CrashGuard;

  private constructor(t: TestContext) {
    t.mock.method(performance, "now", () => this.#nowMs);
    this.monitor = CrashMonitor.create({
      entry: "entry-1",
      logger: { log: () => undefined },
      metrics: CrashMetrics.create(new Registry()),
      readNowMs: () => this.#nowMs,
      onCulprit: () => undefined,
      onPartQuarantined: () => undefined,
    });
    this.guard = CrashGuard.create(this.monitor, createRequest());
  }

  static create(t: TestContext): GuardFixture {
    return new GuardFixture(t);
  }

  /** Lets as many pieces of an answer arrive, 100 ms apart. */
  writePieces(count: number): void {
    for (let index = 0; index < count; index++) {
      this.guard.recordPiece();
      this.#nowMs += 100;
    }
  }

  advance(durationMs: number): void {
    this.#nowMs += durationMs;
  }

  crashTarget(target = TARGET): void {
    this.guard.recordFailure(target, BROKEN);
    this.guard.recordFailure(target, REFUSED);
  }

  get lostParts(): readonly string[] {
    return this.monitor.pendingReport.prompts.crashes.flatMap(({ parts }) =>
      parts.map(({ part }) => part)
    );
  }
}

function createRequest(): RoutedRequest {
  return {
    head: decodeCallerHead({
      [HEADERS.promptPrefixHashes]: "a1:40,b2:60,c3:10",
    }),
    method: "POST",
    path: "/stream/a",
    fields: {},
    body: Buffer.from("prompt"),
    route: {} as Route,
    organisation: "org-1",
    priority: 1,
    arrivedAtMs: 0,
  };
}
