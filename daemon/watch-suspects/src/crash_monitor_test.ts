import type { Logger } from "@dandelionbank/log-events";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashMonitor } from "./mod.ts";

const SETTLED_MS = 1_100;

test("Entries put together what each has lost", () => {
  const site = new Site();
  const [first, second] = site.watches;
  first.recordLostAnswer("a", "killer");
  first.recordTargetDown("a");
  second.recordLostAnswer("b", "killer");
  second.recordTargetDown("b");
  site.exchange();
  for (const each of site.watches) {
    assert.equal(each.judge("killer").kind, "quarantined");
  }
  site.pass(SETTLED_MS);
  for (const each of site.watches) {
    assert.equal(each.judge("killer").kind, "quarantined");
    assert.equal(each.judge("other").kind, "clear");
  }
});

test("An entry that starts later learns what is refused, and for how long", () => {
  const site = new Site();
  const [first, second] = site.watches;
  for (const target of ["a", "b"]) {
    first.recordLostAnswer(target, "killer");
    first.recordTargetDown(target);
  }
  site.pass(SETTLED_MS);
  site.pass(300_000);
  site.exchange();
  assert.equal(second.judge("killer").kind, "quarantined");
  for (let index = 0; index < 10; index++) {
    site.pass(100_000);
    site.exchange();
  }
  assert.notEqual(second.judge("killer").kind, "quarantined");
});

test("What many callers send is served on while some targets crash", () => {
  const site = new Site();
  const [first, second] = site.watches;
  for (const target of ["a", "b", "c"]) {
    first.recordLostAnswer(target, "popular");
    first.recordTargetDown(target);
    for (const each of site.watches) each.recordAnswer("popular");
    site.exchange();
    second.recordAnswer("popular");
    site.pass(SETTLED_MS);
  }
  for (const each of site.watches) {
    assert.equal(each.judge("popular").kind, "clear");
  }
});

test("A target that is down with nothing lost blames nobody", () => {
  const site = new Site();
  const [first] = site.watches;
  first.recordTargetDown("a");
  assert.ok(!first.hasSuspects);
  assert.deepEqual(first.pendingReport, { losses: [], quarantined: [] });
});

test("What is told is told for a while, and is bounded", () => {
  const site = new Site();
  const [first] = site.watches;
  for (let index = 0; index < 200; index++) {
    first.recordLostAnswer(`t${index}`, `f${index}`);
    first.recordTargetDown(`t${index}`);
  }
  assert.equal(first.pendingReport.losses.length, 16);
  site.pass(2_000);
  assert.equal(first.pendingReport.losses.length, 0);
});

class Site {
  #nowMs = 0;
  readonly watches = [this.#create(), this.#create()] as const;

  exchange(): void {
    const told = this.watches.map((each) => each.pendingReport);
    for (const each of this.watches) {
      told.forEach((news) => each.applyReport(news));
    }
  }

  pass(durationMs: number): void {
    this.#nowMs += durationMs;
    for (const each of this.watches) each.tick();
  }

  #create(): CrashMonitor {
    const logger: Logger = { log: () => undefined };
    return CrashMonitor.create({
      logger,
      readNowMs: () => this.#nowMs,
    });
  }
}
