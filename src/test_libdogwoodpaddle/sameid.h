/* Two names of members with the same 32-bit id, the low half of their XXH64. */
#pragma once

#define SAME_ID_FIRST "127.45.2.164:8172"
#define SAME_ID_SECOND "127.45.19.225:8172"
