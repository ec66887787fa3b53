import createXxhash from 'xxhash-wasm'

/** The hash functions of xxhash. The bundled program gets them from its loader instead: see scripts/bundle.js. */
export const xxhash = await createXxhash()
