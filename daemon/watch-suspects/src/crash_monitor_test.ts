import type { LostRequest } from "@dandelionbank/detect-crashes";
import type { Logger } from "@dandelionbank/log-events";
import { Registry } from "@dandelionbank/metrics";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashMetrics, CrashMonitor } from "./mod.ts";

const SETTLED_MS = 1_100;

test("Entries combine their losses to find a request that crashes targets", () => {
  const cluster = new Cluster();
  const [first, second] = cluster.monitors;
  first.recordLostAnswer("a", lost("crashing"));
  first.recordTargetDown("a", "connection failed");
  second.recordLostAnswer("b", lost("crashing"));
  second.recordTargetDown("b", "connection failed");
  cluster.exchangeReports();
  for (const monitor of cluster.monitors) {
    assert.equal(monitor.evaluate("crashing").kind, "quarantined");
  }
  cluster.advance(SETTLED_MS);
  for (const monitor of cluster.monitors) {
    assert.equal(monitor.evaluate("crashing").kind, "quarantined");
    assert.equal(monitor.evaluate("other").kind, "clear");
  }
});

test("An entry that starts later adopts a quarantine and its end", () => {
  const cluster = new Cluster();
  const [first, second] = cluster.monitors;
  for (const target of ["a", "b"]) {
    first.recordLostAnswer(target, lost("crashing"));
    first.recordTargetDown(target, "connection failed");
  }
  cluster.advance(SETTLED_MS);
  cluster.advance(300_000);
  cluster.exchangeReports();
  assert.equal(second.evaluate("crashing").kind, "quarantined");
  for (let index = 0; index < 10; index++) {
    cluster.advance(100_000);
    cluster.exchangeReports();
  }
  assert.notEqual(second.evaluate("crashing").kind, "quarantined");
});

test("A request that many callers send stays allowed while some targets crash", () => {
  const cluster = new Cluster();
  const [first, second] = cluster.monitors;
  for (const target of ["a", "b", "c"]) {
    first.recordLostAnswer(target, lost("popular"));
    first.recordTargetDown(target, "connection failed");
    for (const monitor of cluster.monitors) monitor.recordAnswer("popular");
    cluster.exchangeReports();
    second.recordAnswer("popular");
    cluster.advance(SETTLED_MS);
  }
  for (const monitor of cluster.monitors) {
    assert.equal(monitor.evaluate("popular").kind, "clear");
  }
});

test("Entries combine their losses to find a prompt part that crashes targets", () => {
  const cluster = new Cluster();
  const [first, second] = cluster.monitors;
  for (let index = 0; index < 200; index++) first.recordSurvival(["shared"]);
  cluster.exchangeReports();
  [first, second, first].forEach((monitor, index) => {
    crashOnPart(monitor, `t${index}`, index);
    cluster.exchangeReports();
    cluster.advance(SETTLED_MS);
  });
  cluster.exchangeReports();
  for (const monitor of cluster.monitors) {
    assert.equal(monitor.findQuarantinedPart(["shared", "bad"])?.part, "bad");
    assert.equal(monitor.findQuarantinedPart(["shared"]), undefined);
  }
});

test("Crashes of a target that starts again under its id count each", () => {
  const cluster = new Cluster();
  const [first] = cluster.monitors;
  for (let index = 0; index < 200; index++) first.recordSurvival(["shared"]);
  for (let start = 0; start < 3; start++) {
    crashOnPart(first, `t@${start}`, start);
    cluster.advance(SETTLED_MS);
  }
  assert.equal(first.findQuarantinedPart(["bad"])?.part, "bad");
});

test("An entry learns from another one that a target refuses connections", () => {
  const cluster = new Cluster();
  const [first, second] = cluster.monitors;
  first.recordLostAnswer("t", { fingerprint: "f", promptParts: ["bad"] });
  second.recordTargetDown("t", "connection refused");
  cluster.exchangeReports();
  const [crash] = first.pendingReport.prompts.crashes;
  assert.equal(crash?.target, "t");
  assert.deepEqual(crash?.parts, [{ part: "bad", requests: 1, depth: 0 }]);
});

test("A connection that fails for another reason is not reported to other entries", () => {
  const cluster = new Cluster();
  const [first] = cluster.monitors;
  first.recordTargetDown("t", "connection failed");
  assert.deepEqual(first.pendingReport.downTargets, []);
});

test("A target that goes down without lost answers makes no request suspect", () => {
  const cluster = new Cluster();
  const [first] = cluster.monitors;
  first.recordTargetDown("a", "connection failed");
  assert.ok(!first.hasSuspects);
  const { suspects, prompts } = first.pendingReport;
  assert.deepEqual(suspects, { losses: [], quarantined: [] });
  assert.deepEqual(prompts.crashes, []);
});

test("Losses are reported for a limited time and in a limited number", () => {
  const cluster = new Cluster();
  const [first] = cluster.monitors;
  for (let index = 0; index < 200; index++) {
    first.recordLostAnswer(`t${index}`, lost(`f${index}`));
    first.recordTargetDown(`t${index}`, "connection failed");
  }
  assert.equal(first.pendingReport.suspects.losses.length, 16);
  cluster.advance(2_000);
  assert.equal(first.pendingReport.suspects.losses.length, 0);
});

class Cluster {
  #nowMs = 0;
  readonly monitors = [this.#create(0), this.#create(1)] as const;

  exchangeReports(): void {
    const reports = this.monitors.map((monitor) => monitor.pendingReport);
    this.monitors.forEach((monitor, index) => {
      reports.forEach((report, source) => {
        if (source !== index) monitor.applyReport(`entry-${source}`, report);
      });
    });
  }

  advance(durationMs: number): void {
    this.#nowMs += durationMs;
    for (const monitor of this.monitors) monitor.tick();
  }

  #create(index: number): CrashMonitor {
    const logger: Logger = { log: () => undefined };
    return CrashMonitor.create({
      entry: `entry-${index}`,
      logger,
      metrics: CrashMetrics.create(new Registry()),
      readNowMs: () => this.#nowMs,
      onCulprit: () => undefined,
      onPartQuarantined: () => undefined,
    });
  }
}

function crashOnPart(
  monitor: CrashMonitor,
  target: string,
  number: number,
): void {
  const promptParts = ["shared", "bad"];
  monitor.recordLostAnswer(target, { fingerprint: `f${number}`, promptParts });
  monitor.recordTargetDown(target, "connection refused");
}

function lost(fingerprint: string): LostRequest {
  return { fingerprint, promptParts: [] };
}
