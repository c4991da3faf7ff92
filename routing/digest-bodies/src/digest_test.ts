import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test } from "node:test";
import { createBodyDigest, digestKey, digestRequest } from "./mod.ts";

function sha256(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}

const BODIES: readonly (readonly string[])[] = [
  [],
  ["one"],
  ["one", "", "വ്യ", "\u{1F33C}", "three"],
  ["x".repeat(40_000), "y", "z".repeat(40_000)],
];

test("The digest and length of a body don't depend on how it is split into parts", () => {
  for (const parts of BODIES) {
    const body = Buffer.from(parts.join(""));
    const text = createBodyDigest();
    for (const part of parts) text.add(part, "utf8");
    assert.equal(text.lengthBytes, body.length);
    assert.equal(text.finish(), sha256(body));

    const bytes = createBodyDigest();
    for (const part of parts) {
      bytes.add(Buffer.from(part).toString("base64"), "base64");
    }
    assert.equal(bytes.lengthBytes, body.length);
    assert.equal(bytes.finish(), sha256(body));
  }
});

test("The digest of a key differs between organisations", () => {
  assert.notEqual(digestKey("a", "k"), digestKey("b", "k"));
  assert.equal(digestKey("a", "k"), digestKey("a", "k"));
  assert.match(digestKey("a", "k"), /^[A-Za-z0-9_-]{43}$/);
});

test("The digest of a request covers organisation, method, path and body", () => {
  const body = new TextEncoder().encode("body");
  const request = { organisation: "a", method: "POST", path: "/p", body };
  const other = new TextEncoder().encode("bodY");
  const changed = [
    { ...request, organisation: "b" },
    { ...request, method: "PUT" },
    { ...request, path: "/q" },
    { ...request, body: other },
  ];
  const digests = [request, ...changed].map(digestRequest);
  assert.equal(new Set(digests).size, digests.length);
});
