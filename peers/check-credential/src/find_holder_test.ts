import type {
  Contract,
  ObjectKind,
  Operator,
  StoredObject,
  View,
} from "@dandelionbank/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  digestKey,
  findOperatorByKey,
  findOrganisationByKey,
  isSameSecret,
  matchesDigest,
  readBearerKey,
} from "./mod.ts";

function createObject<Value>(
  kind: ObjectKind,
  name: string,
  { value }: { readonly value: Value },
): StoredObject<Value> {
  return { kind, name, uid: name, revision: 1, changeId: "c", value };
}

function createContract(
  organisation: string,
  keys: readonly string[],
): Contract {
  return {
    organisation,
    keyDigests: keys.map(digestKey),
    requestsPerSecond: 1,
    concurrentRequests: 1,
    tokensPerMinute: 1,
    shareWeight: 1,
    priority: 1,
    objective: { firstTokenMs: 1, betweenTokensMs: 1, answeredMs: 1 },
  };
}

type KeysByName = Readonly<Record<string, readonly string[]>>;

function createView(contracts: KeysByName, operators: KeysByName = {}): View {
  return {
    revision: 1,
    config: undefined,
    contracts: new Map(
      Object.entries(contracts).map(([name, keys]) => [
        name,
        createObject("contract", name, { value: createContract(name, keys) }),
      ]),
    ),
    operators: new Map(
      Object.entries(operators).map(([name, keys]) => {
        const value: Operator = { name, keyDigests: keys.map(digestKey) };
        return [name, createObject("operator", name, { value })];
      }),
    ),
    invalidOperators: new Set(),
    stops: new Map(),
    agents: new Map(),
    entries: new Map(),
    closings: new Map(),
  };
}

const VIEW = createView(
  { trust: ["k1", "k2"], harnessa: ["k3", "shared"], other: ["shared"] },
  { asha: ["o1"] },
);

const HOLDERS: readonly (readonly [string, string | undefined])[] = [
  ["k1", "trust"],
  ["k2", "trust"],
  ["k3", "harnessa"],
  ["k4", undefined],
  ["", undefined],
  ["shared", undefined],
  ["o1", undefined],
  [digestKey("k1"), undefined],
];

for (const [key, organisation] of HOLDERS) {
  test(`Key "${key.slice(0, 8)}" is owned by ${organisation ?? "no organisation"}`, () => {
    assert.equal(findOrganisationByKey(VIEW, key)?.name, organisation);
  });
}

test("A key of an operator or an organisation does not serve as the other's", () => {
  assert.equal(findOperatorByKey(VIEW, "o1")?.name, "asha");
  assert.equal(findOperatorByKey(VIEW, "k1"), undefined);
});

test("A revoked key is rejected as of the next view", () => {
  assert.equal(
    findOrganisationByKey(createView({ trust: ["k2"] }), "k1"),
    undefined,
  );
  assert.equal(findOrganisationByKey(VIEW, "k1")?.name, "trust");
});

test("A prefix of a digest or of a secret does not match", () => {
  assert.equal(matchesDigest("k", digestKey("k")), true);
  assert.equal(matchesDigest("k", digestKey("k").slice(1)), false);
  assert.equal(matchesDigest("k", ""), false);
  assert.equal(isSameSecret("secret", "secret"), true);
  assert.equal(isSameSecret("secret", "secret2"), false);
});

const HEADERS: readonly (readonly [string | undefined, string | undefined])[] =
  [
    ["Bearer abc", "abc"],
    ["bearer  abc", "abc"],
    ["Bearer", undefined],
    ["Basic abc", undefined],
    ["Bearer a b", undefined],
    [undefined, undefined],
  ];

for (const [header, key] of HEADERS) {
  test(`The key parsed from the header ${header} is ${key}`, () => {
    assert.equal(readBearerKey(header), key);
  });
}
