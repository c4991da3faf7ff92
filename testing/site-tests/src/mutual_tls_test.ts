import {
  type CertificatePair,
  createTestAuthority,
  withTempFolder,
} from "@dandelionbank/certificates";
import { callEntry, fetchTicket } from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { request } from "node:https";
import { test } from "node:test";
import { assertCompletion, createCompletionCall } from "./callers.ts";
import { readAgents, startSite } from "./fixtures.ts";

const REQUEST = { prompt: "Check the pinout", maxTokens: 6, stream: true };

test("Peers use mutual TLS, and other clients are rejected", async (t) => {
  await withTempFolder(async (folder) => {
    const authority = createTestAuthority(folder, "authority");
    const flags = createTlsFlags(authority.issue("peer"), authority);
    const site = await startSite(t, {
      entries: 2,
      ranks: 1,
      agentArgs: flags,
      entryArgs: flags,
    });
    await assertServed(site.getEntryUrl("entry-1"), site.callerKey);
    await assertRelayed(site.getEntryUrl("entry-1"), {
      otherUrl: site.getEntryUrl("entry-2"),
      key: site.callerKey,
    });

    const agent = (await readAgents(site)).get("review-0");
    const url = agent?.peerUrl ?? "";
    assert.match(url, /^https:/);
    const foreignPair = createTestAuthority(folder, "stranger").issue("other");
    const secret = site.peerSecret;
    const ca = authority.certificate;
    assert.equal(await requestStatus(url, { secret, ca }), "refused");
    assert.equal(
      await requestStatus(url, { secret, ca, pair: foreignPair }),
      "refused",
    );
    const pair = authority.issue("another-peer");
    assert.equal(await requestStatus(url, { secret: "wrong", ca, pair }), 401);
    assert.equal(await requestStatus(url, { secret, ca, pair }), 200);
    assert.equal(await requestStatusWithoutTls(url), "refused");
  });
});

function createTlsFlags(
  pair: CertificatePair,
  authority: CertificatePair,
): readonly string[] {
  return [
    `--peer-tls-cert-file=${pair.certificatePath}`,
    `--peer-tls-key-file=${pair.keyPath}`,
    `--peer-tls-ca-file=${authority.certificatePath}`,
  ];
}

async function assertServed(url: string, key: string): Promise<void> {
  assertCompletion(
    await callEntry(url, createCompletionCall(key, REQUEST)),
    REQUEST,
  );
}

/** Asserts that another entry relays a keyed call to the key's home entry. */
async function assertRelayed(
  homeUrl: string,
  options: { readonly otherUrl: string; readonly key: string },
): Promise<void> {
  const { otherUrl, key } = options;
  const { ticket } = await fetchTicket(homeUrl, key);
  const reply = await callEntry(otherUrl, {
    ...createCompletionCall(key, REQUEST),
    headers: { "idempotency-key": `${ticket}/pinout` },
  });
  assertCompletion(reply, REQUEST);
}

interface StatusRequest {
  readonly secret: string;
  readonly ca: string;
  readonly pair?: CertificatePair;
}

function requestStatus(
  peerUrl: string,
  { secret, ca, pair }: StatusRequest,
): Promise<number | "refused"> {
  return new Promise((resolve) => {
    const outgoing = request(`${peerUrl}/trpc/readStatus`, {
      agent: false,
      ca,
      ...(pair === undefined ? {} : { cert: pair.certificate, key: pair.key }),
      headers: { authorization: `Bearer ${secret}` },
    });
    outgoing.on("response", (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    outgoing.on("error", () => resolve("refused"));
    outgoing.end();
  });
}

async function requestStatusWithoutTls(
  peerUrl: string,
): Promise<number | "refused"> {
  const plain = peerUrl.replace("https:", "http:");
  const call = { key: "none", path: "/trpc/readStatus" };
  try {
    return (await callEntry(plain, call)).status;
  } catch {
    return "refused";
  }
}
