import assert from "node:assert/strict";
import { test } from "node:test";
import { countLostParts, type PromptQuarantine } from "./mod.ts";
import { answerPrompts, createQuarantine, OPTIONS } from "./test_fixtures.ts";

const SETTLED_MS = OPTIONS.settleMs;

test("A part that is lost in three crashes and never answered is refused, the parts beside it are not", () => {
  const quarantine = createQuarantine();
  answerPrompts(quarantine, { parts: ["first"], count: 200, nowMs: 0 });
  const crashing = [["first", "bad"], ["first", "subject"]];
  crash(quarantine, { target: "a", prompts: crashing, nowMs: 1_000 });
  crash(quarantine, { target: "b", prompts: crashing, nowMs: 5_000 });
  assert.deepEqual(quarantine.tick(6_000), []);
  quarantine.recordSurvival(["first", "subject"], 6_500);
  crash(quarantine, { target: "c", prompts: crashing, nowMs: 9_000 });
  assert.deepEqual(quarantine.tick(9_000 + SETTLED_MS), [
    { part: "bad", targets: ["a", "b", "c"], requests: 3 },
  ]);
  const nowMs = 9_000 + SETTLED_MS;
  assert.equal(
    quarantine.findQuarantined(["first", "bad"], nowMs)?.part,
    "bad",
  );
  assert.equal(
    quarantine.findQuarantined(["first", "subject"], nowMs),
    undefined,
  );
  assert.deepEqual(quarantine.tick(60_000), []);
});

test("A part that is answered between crashes is never refused", () => {
  const quarantine = createQuarantine();
  for (let index = 0; index < 12; index++) {
    const nowMs = index * 4_000;
    crash(quarantine, { target: `t${index}`, prompts: [["first"]], nowMs });
    answerPrompts(quarantine, { parts: ["other"], count: 60, nowMs });
    assert.deepEqual(quarantine.tick(nowMs + SETTLED_MS), []);
    quarantine.recordSurvival(["first"], nowMs + SETTLED_MS);
  }
});

test("Targets that fail at the same time make no part a culprit", () => {
  const quarantine = createQuarantine();
  answerPrompts(quarantine, { parts: ["first"], count: 200, nowMs: 0 });
  for (let index = 0; index < 12; index++) {
    const nowMs = 1_000 + index * 10;
    crash(quarantine, { target: `t${index}`, prompts: [["new"]], nowMs });
  }
  assert.deepEqual(quarantine.tick(5_000), []);
});

test("While too few prompts are answered, a part is no culprit after three crashes", () => {
  const quarantine = createQuarantine();
  answerPrompts(quarantine, { parts: ["first"], count: 199, nowMs: 0 });
  crashThreeTargets(quarantine, [["first", "new"]]);
  assert.deepEqual(quarantine.tick(20_000), []);
});

test("While no target answers, a rare part is refused after four crashes and a part of most prompts is not", () => {
  const quarantine = createQuarantine();
  for (let index = 0; index < 60; index++) {
    const first = index % 3 === 0 ? "often" : "most";
    quarantine.recordArrival(index % 20 === 0 ? [first, "bad"] : [first]);
  }
  const prompts = [["most", "bad"], ["most"], ["often"]];
  crashThreeTargets(quarantine, prompts);
  assert.deepEqual(quarantine.tick(12_000), []);
  crash(quarantine, { target: "d", prompts, nowMs: 13_000 });
  const culprits = quarantine.tick(13_000 + SETTLED_MS);
  assert.deepEqual(culprits.map(({ part }) => part), ["bad"]);
});

test("A culprit is found although its crashes were ascribed to another part before", () => {
  const quarantine = createQuarantine();
  answerPrompts(quarantine, { parts: ["other"], count: 200, nowMs: 0 });
  crashThreeTargets(quarantine, [["wrong"], ["first", "bad"], ["bad"]]);
  assert.deepEqual(quarantine.tick(12_000).map(({ part }) => part), ["wrong"]);
  crash(quarantine, { target: "d", prompts: [["bad"]], nowMs: 13_000 });
  const culprits = quarantine.tick(13_000 + SETTLED_MS);
  assert.deepEqual(culprits.map(({ part }) => part), ["bad"]);
});

test("A part that used to be answered is refused once it crashes targets while others are answered", () => {
  const quarantine = createQuarantine();
  answerPrompts(quarantine, { parts: ["turned"], count: 200, nowMs: 0 });
  const prompts = [["turned"]];
  crashThreeTargets(quarantine, prompts);
  crash(quarantine, { target: "d", prompts, nowMs: 13_000 });
  crash(quarantine, { target: "e", prompts, nowMs: 13_500 });
  answerPrompts(quarantine, { parts: ["other"], count: 60, nowMs: 14_000 });
  assert.deepEqual(quarantine.tick(15_000), []);
  crash(quarantine, { target: "f", prompts, nowMs: 17_000 });
  assert.deepEqual(quarantine.tick(20_000).map(({ part }) => part), ["turned"]);
});

test("A part that used to be answered is not refused for half of the crashes", () => {
  const quarantine = createQuarantine();
  answerPrompts(quarantine, { parts: ["first"], count: 200, nowMs: 0 });
  answerPrompts(quarantine, { parts: ["other"], count: 60, nowMs: 0 });
  for (let index = 0; index < 12; index++) {
    const prompts = [[index % 2 === 0 ? "first" : `subject-${index}`]];
    const nowMs = 1_000 + index * 4_000;
    crash(quarantine, { target: `t${index}`, prompts, nowMs });
    assert.deepEqual(quarantine.tick(nowMs + SETTLED_MS), []);
  }
});

test("Of parts that explain the same crashes, the one in fewer requests is refused, then the deepest", () => {
  const quarantine = createQuarantine();
  answerPrompts(quarantine, { parts: ["other"], count: 200, nowMs: 0 });
  crashThreeTargets(quarantine, [
    ["first", "bad"],
    ["first", "subject", "deep"],
    ["first", "subject", "deep"],
  ]);
  assert.deepEqual(quarantine.tick(20_000).map(({ part }) => part), ["bad"]);

  const tied = createQuarantine();
  answerPrompts(tied, { parts: ["other"], count: 200, nowMs: 0 });
  crashThreeTargets(tied, [["first", "bad"]]);
  assert.deepEqual(tied.tick(20_000).map(({ part }) => part), ["bad"]);
});

test("Entries combine what each of them has lost and seen answered", () => {
  const entries = [0, 1, 2].map((index) => createQuarantine(`entry-${index}`));
  const prompts = [["bad"], ["shared"]];
  exchangeReports(entries, 0);
  entries.forEach((entry, index) => {
    answerPrompts(entry, { parts: [`p${index}`], count: 70, nowMs: 0 });
    crash(entry, { target: `t${index}`, prompts, nowMs: index * 4_000 });
    exchangeReports(entries, index * 4_000);
  });
  entries[1]!.recordSurvival(["shared"], 8_100);
  exchangeReports(entries, 8_200);
  for (const entry of entries) {
    const culprits = entry.tick(8_200 + SETTLED_MS);
    assert.deepEqual(culprits.map(({ part }) => part), ["bad"]);
  }
});

test("An entry that starts later refuses the part until the same time", () => {
  const [first, second] = [createQuarantine("entry-0"), createQuarantine()];
  answerPrompts(first!, { parts: ["other"], count: 200, nowMs: 0 });
  crashThreeTargets(first!, [["bad"]]);
  const startMs = 20_000;
  assert.equal(first!.tick(startMs).length, 1);
  const endMs = startMs + OPTIONS.quarantineMs;
  const reportMs = startMs + 30_000;
  const adopted = second!.applyReport(first!.createReport(reportMs), {
    entry: "entry-0",
    nowMs: reportMs,
  });
  assert.deepEqual(adopted, [{ part: "bad", remainingMs: 30_000 }]);
  for (const entry of [first!, second!]) {
    assert.ok(entry.findQuarantined(["bad"], endMs - 1));
    assert.equal(entry.findQuarantined(["bad"], endMs), undefined);
  }
});

test("After its quarantine one crash refuses a part again, unless it was answered", () => {
  const quarantine = createQuarantine();
  answerPrompts(quarantine, { parts: ["other"], count: 200, nowMs: 0 });
  crashThreeTargets(quarantine, [["bad"]]);
  quarantine.tick(20_000);
  const endMs = 20_000 + OPTIONS.quarantineMs;
  crash(quarantine, { target: "d", prompts: [["bad"]], nowMs: endMs });
  const [again] = quarantine.tick(endMs + SETTLED_MS);
  assert.deepEqual(again?.targets, ["d"]);

  const secondEndMs = endMs + SETTLED_MS + OPTIONS.quarantineMs;
  quarantine.recordSurvival(["bad"], secondEndMs);
  const nowMs = secondEndMs + 1;
  crash(quarantine, { target: "e", prompts: [["bad"]], nowMs });
  assert.deepEqual(quarantine.tick(nowMs + SETTLED_MS), []);
});

test("A report names the parts that were never answered first", () => {
  const quarantine = createQuarantine();
  const answered = Array.from({ length: 60 }, (_, index) => `p${index}`);
  quarantine.recordSurvival(answered, 0);
  const prompts = [[...answered, "bad"]];
  crash(quarantine, { target: "a", prompts, nowMs: 1_000 });
  const [report] = quarantine.createReport(1_000).crashes;
  assert.equal(report?.parts[0]?.part, "bad");
});

test("Reports are limited in number and time", () => {
  const quarantine = createQuarantine();
  const prompts = Array.from({ length: 200 }, (_, index) => [`p${index}`]);
  for (let index = 0; index < 200; index++) {
    crash(quarantine, { target: `t${index}`, prompts, nowMs: 0 });
  }
  const { crashes } = quarantine.createReport(0);
  assert.equal(crashes.length, 8);
  assert.equal(crashes[0]?.parts.length, 32);
  assert.deepEqual(quarantine.createReport(2_000).crashes, []);
});

function crash(
  quarantine: PromptQuarantine,
  { target, prompts, nowMs }: {
    readonly target: string;
    readonly prompts: readonly (readonly string[])[];
    readonly nowMs: number;
  },
): void {
  const parts = countLostParts(prompts);
  const report = { target, ageMs: 0, requests: prompts.length, parts };
  quarantine.recordCrash(report, nowMs);
}

function crashThreeTargets(
  quarantine: PromptQuarantine,
  prompts: readonly (readonly string[])[],
): void {
  ["a", "b", "c"].forEach((target, index) =>
    crash(quarantine, { target, prompts, nowMs: 1_000 + index * 4_000 })
  );
}

function exchangeReports(
  entries: readonly PromptQuarantine[],
  nowMs: number,
): void {
  const reports = entries.map((entry) => entry.createReport(nowMs));
  entries.forEach((entry, index) => {
    reports.forEach((report, source) => {
      if (source === index) return;
      entry.applyReport(report, { entry: `entry-${source}`, nowMs });
    });
  });
}
