import createXxhash from 'xxhash-wasm'

const xxhash = await createXxhash()

/** A 32-bit hash of a string, for rendezvous order and sampling; not for secrets. */
export const hash32 = (text: string, seed = 0): number => xxhash.h32(text, seed)

/** A 64-bit hash of a string as 16 hexadecimal digits. */
export const hash64 = (text: string): string => xxhash.h64ToString(text)
