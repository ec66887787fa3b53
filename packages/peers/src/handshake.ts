import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { brand, isJsonObject } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import type { PeerIdentity } from './transport.js'

/** The side that a proof belongs to; part of the HMAC, so that a proof cannot be reflected to its sender. */
export type HandshakeRole = 'dials' | 'accepts'

/** A handshake message: the sender's identity, its nonce, and its proof once it has received the peer's nonce. */
export interface Hello {
  readonly identity: string
  readonly nonce: string
  readonly proof?: string
}

const NONCE_BYTES = 24

export const newNonce = (): string => randomBytes(NONCE_BYTES).toString('base64')

/** HMAC over the role, both nonces and the prover's identity. */
export const computeProof = (secret: string, role: HandshakeRole, own: Hello, otherNonce: string): string =>
  createHmac('sha256', secret).update([role, otherNonce, own.nonce, own.identity].join('\n')).digest('base64')

/** Verifies a proof; compares in constant time. */
export const isProofValid = (secret: string, role: HandshakeRole, other: Hello, ownNonce: string): boolean => {
  const expected = Buffer.from(computeProof(secret, role, other, ownNonce))
  const given = Buffer.from(other.proof ?? '')
  return expected.length === given.length && timingSafeEqual(expected, given)
}

export const encodeHello = (hello: Hello): string => JSON.stringify(hello)

/** Undefined if the text is not a hello. */
export const decodeHello = (text: string): Hello | undefined => {
  try {
    const value: unknown = JSON.parse(text)
    if (!isJsonObject(value)) return undefined
    const { identity, nonce, proof } = value
    if (typeof identity !== 'string' || typeof nonce !== 'string') return undefined
    return { identity, nonce, proof: typeof proof === 'string' ? proof : undefined }
  } catch {
    return undefined
  }
}

export const encodeIdentity = (identity: PeerIdentity): string => JSON.stringify(identity)

export const decodeIdentity = (text: string): PeerIdentity | undefined => {
  const value: unknown = JSON.parse(text)
  if (!isJsonObject(value)) return undefined
  const { id, incarnation, domain, address } = value
  if (typeof id !== 'string' || typeof incarnation !== 'string' || typeof domain !== 'string' || !isJsonObject(address)) return undefined
  const { ip, port } = address
  if (typeof ip !== 'string' || typeof port !== 'number') return undefined
  return {
    id: brand<InstanceId>(id), incarnation: brand<Incarnation>(incarnation), domain: brand<DomainId>(domain), address: { ip, port }
  }
}
